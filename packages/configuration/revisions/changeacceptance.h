#pragma once

#include "configuration/revisions/configurationloader.h"
#include "configuration/revisions/configurationsource.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace sassafrasyard {

/** A change as an operator proposes it. */
struct ChangeRequest
{
    /** Chosen by the operator's client, unique; a repeated request has the same one. */
    std::string identifier;
    /** Who makes the change. */
    std::string author;
    /** Why. */
    std::string comment;
    /** The revision that the operator saw; nothing for the head's revision at the first read. */
    std::optional<std::uint64_t> baseRevision;
    /** The documents to write or remove. */
    std::vector<ProposedDocument> documents;
};

/** The outcome of a change request. */
struct ChangeOutcome
{
    /** Whether the change is in force. */
    bool isAccepted = false;
    /** The revision that the change made; for a Conflict the winner's revision. */
    std::uint64_t revision = 0;
    /** The faults of an invalid change. */
    std::vector<ConfigurationFault> faults;
    /** Why the change is not known to be in force. */
    Error reason;
    /** The documents after an accepted change. */
    std::shared_ptr<const ConfigurationSource> source;
};

/** Tells the driver to read the head object. */
struct ReadHeadStep
{
};

/** Tells the driver to read an object. */
struct ReadObjectStep
{
    /** The object's name. */
    std::string name;
};

/** Tells the driver to create a content-addressed object; one that exists already is fine. */
struct CreateObjectStep
{
    /** The object's name. */
    std::string name;
    /** Its value. */
    std::string value;
};

/** Tells the driver to write the head if it still has the version; 0 if it must not exist. */
struct UpdateHeadStep
{
    /** The version that must be stored. */
    std::uint64_t version = 0;
    /** The new value. */
    std::string value;
};

/** The next step of an acceptance; nothing else happens after a ChangeOutcome. */
using AcceptanceStep =
        std::variant<ReadHeadStep, ReadObjectStep, CreateObjectStep, UpdateHeadStep, ChangeOutcome>;

/** What the platform answered to a step. */
struct StepResult
{
    /** Nothing if the step succeeded; NotFound, Conflict, PlatformUnavailable or
     * PlatformOutcomeUnknown otherwise. */
    std::optional<Error> failure;
    /** The value of a read object. */
    std::string value;
    /** The version of a read or written object. */
    std::uint64_t version = 0;
};

/**
 * Accepts one change: validates it against the head just read, stores the documents and updates
 * the head conditionally.
 *
 * An update whose reply was lost is resolved by reading the head back. If the head still has the
 * version the update required, the same conditional update is sent again: at most one of the two
 * can take effect. If the head has moved on without this change, the lost update can no longer
 * take effect.
 *
 * Pure: the driver carries out step() and reports the answer until step() is a ChangeOutcome.
 */
class ChangeAcceptance
{
public:
    /**
     * Starts an acceptance.
     *
     * @param known documents that need not be read again, such as those in force on this host.
     * @param acceptedAt is recorded with the change, in milliseconds since the Unix epoch.
     */
    ChangeAcceptance(ChangeRequest request, std::shared_ptr<const ConfigurationSource> localSource,
                     Milliseconds acceptedAt);
    ChangeAcceptance(const ChangeAcceptance &) = delete;
    ChangeAcceptance &operator=(const ChangeAcceptance &) = delete;

    /** Returns the step to carry out. */
    const AcceptanceStep &step() const;
    /** Takes in the answer to the step. */
    void advance(const StepResult &result);

private:
    void handleHead(const StepResult &result);
    void handleObject(const StepResult &result);
    void handleCreation(const StepResult &result);
    void handleUpdate(const StepResult &result);
    void readOrPrepare();
    void prepare();
    void prepareHead(const std::shared_ptr<ConfigurationSource> &next, ChangeRecord record);
    bool resolveFromHead();
    std::optional<std::uint64_t> findConflict(const ConfigurationSource &source) const;
    void createOrUpdate();
    void retryOrGiveUp(const Error &failure);
    void finishAccepted(const ChangeRecord &record);
    void finishConflict(std::uint64_t conflictingRevision);
    void finishFailed(Error reason);

    ChangeRequest request;
    std::string contentDigest;
    std::shared_ptr<const ConfigurationSource> localSource;
    Milliseconds acceptedAt;
    AcceptanceStep currentStep;
    RevisionHead head;
    std::uint64_t headVersion = 0;
    std::unique_ptr<ConfigurationLoader> loader;
    std::shared_ptr<const ConfigurationSource> preparedSource;
    std::vector<std::pair<std::string, std::string>> pendingObjects;
    UpdateHeadStep headUpdate;
    bool mayHaveTakenEffect = false;
    int attempts = 0;
};

/** Returns the digest over a change's documents. */
std::string proposalsDigest(const std::vector<ProposedDocument> &documents);

} // namespace sassafrasyard
