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

/** A configuration change proposed by an operator. */
struct ChangeRequest
{
    /** The change identifier: chosen by the operator's client, unique, and reused when the client
     * repeats the request. */
    std::string identifier;
    /** The operator who makes the change, as stated in the request. */
    std::string author;
    /** The reason of the change, as stated in the request. */
    std::string comment;
    /** The revision on which the change is based; nothing for the head's revision at the first
     * read. */
    std::optional<std::uint64_t> baseRevision;
    /** The documents to write or remove. */
    std::vector<ProposedDocument> documents;
};

/** The outcome of a change request. */
struct ChangeOutcome
{
    /** Whether the change was accepted. */
    bool isAccepted = false;
    /** The revision that the change created; after a Conflict, the revision that caused it. */
    std::uint64_t revision = 0;
    /** The faults of an invalid change; empty otherwise. */
    std::vector<ConfigurationFault> faults;
    /** Why the change was not accepted, or why its outcome is unknown. */
    Error reason;
    /** The documents of the accepted revision; null if this acceptance did not prepare them. */
    std::shared_ptr<const ConfigurationSource> source;
};

/** The driver must read the head object. */
struct ReadHeadStep
{
};

/** The driver must read an object. */
struct ReadObjectStep
{
    /** The object's name. */
    std::string name;
};

/** The driver must create a content-addressed object; a Conflict means that it already exists. */
struct CreateObjectStep
{
    /** The object's name. */
    std::string name;
    /** The object's value. */
    std::string value;
};

/** The driver must write the head object conditionally. */
struct UpdateHeadStep
{
    /** The version that the stored head must have; 0 if it must not exist. */
    std::uint64_t version = 0;
    /** The new value. */
    std::string value;
};

/** The next step of an acceptance; a ChangeOutcome is final. */
using AcceptanceStep =
        std::variant<ReadHeadStep, ReadObjectStep, CreateObjectStep, UpdateHeadStep, ChangeOutcome>;

/** The platform's reply to a step. */
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
 * If the reply to an update is lost, the head is read again. If the head still has the version that
 * the update required, the same conditional update is sent again: at most one of the two can take
 * effect. If the head has a later version without this change, the lost update can no longer take
 * effect.
 *
 * Pure: the driver executes step() and passes the result to advance() until step() is a
 * ChangeOutcome.
 */
class ChangeAcceptance
{
public:
    /**
     * Starts an acceptance.
     *
     * @param localSource documents that need not be read again, such as those that this host runs.
     * @param acceptedAt stored with the change, in milliseconds since the Unix epoch.
     */
    ChangeAcceptance(ChangeRequest request, std::shared_ptr<const ConfigurationSource> localSource,
                     Milliseconds acceptedAt);
    ChangeAcceptance(const ChangeAcceptance &) = delete;
    ChangeAcceptance &operator=(const ChangeAcceptance &) = delete;

    /** Returns the step to execute, or the outcome. */
    const AcceptanceStep &step() const;
    /** Processes the result of the current step and selects the next one. */
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

/** Returns the SHA-256 digest over the keys and bodies of a change's documents. */
std::string proposalsDigest(const std::vector<ProposedDocument> &documents);

} // namespace sassafrasyard
