#pragma once

#include "control/control.h"
#include "standins/platform/objectstore.h"

#include <boost/asio/co_spawn.hpp>

#include <optional>

namespace sassafrasyard {

/** Runs the platform stand-in and a client of it in the thread of the test. */
class PlatformFixture
{
public:
    PlatformFixture()
        : context(1)
        , objects(context)
        , server(
                  context, HttpServerOptions(),
                  [this](const HttpRequest &request, HttpResponder &responder) {
                      return this->objects.handle(request, responder);
                  },
                  [](const Error &error) {
                      HttpResponse response;
                      response.status = httpStatus(error.code);
                      return response;
                  })
        , endpoint(this->listen())
        , client(this->endpoint, HttpTimeouts{Milliseconds(500), Milliseconds(500)})
        , store(this->client, Clock::system())
    {
    }

    /** Runs the context until a condition holds. @return whether it did within 20 s. */
    template <typename Condition>
    bool runUntil(Condition condition)
    {
        constexpr Milliseconds limit{20000};
        const Clock clock = Clock::steady();
        const Milliseconds deadline = clock.now() + limit;
        while (!condition() && clock.now() < deadline)
            this->context.run_for(Milliseconds(5));
        return condition();
    }

    /** Starts a coroutine that stores its result in the given variable. */
    template <typename Result>
    void spawn(boost::asio::awaitable<Result> job, std::optional<Result> &result)
    {
        boost::asio::co_spawn(
                this->context, std::move(job),
                [&result](const std::exception_ptr &, Result value) { result = std::move(value); });
    }

    /** Runs a coroutine to completion and returns its result. */
    template <typename Result>
    Result run(boost::asio::awaitable<Result> job)
    {
        std::optional<Result> result;
        this->spawn(std::move(job), result);
        this->runUntil([&] { return result.has_value(); });
        return std::move(*result);
    }

    /** Applies a change of documents; a document without a body is removed. */
    ChangeOutcome apply(std::string identifier, std::vector<ProposedDocument> documents)
    {
        return this->run(this->store.accept(makeChange(std::move(identifier), std::move(documents)),
                                            std::make_shared<const ConfigurationSource>()));
    }

    static ChangeRequest makeChange(std::string identifier, std::vector<ProposedDocument> documents)
    {
        ChangeRequest change;
        change.identifier = std::move(identifier);
        change.documents = std::move(documents);
        return change;
    }

    static ProposedDocument model(const std::string &name, const std::string &version)
    {
        ProposedDocument document;
        document.key = DocumentKey{DocumentKind::Model, name};
        document.body = "{\"versions\":[\"" + version + "\"]}";
        return document;
    }

    static ProposedDocument removal(const std::string &name)
    {
        ProposedDocument document;
        document.key = DocumentKey{DocumentKind::Model, name};
        return document;
    }

    /** Sets the fault of the stand-in. @param body see ObjectStore. */
    void setFault(const std::string &body)
    {
        HttpRequest request;
        request.method = "POST";
        request.target = "/fault";
        request.body = body;
        Error reason;
        this->run(sendHttpRequest(this->endpoint, request, HttpTimeouts(), reason));
    }

    /** Reads the current head; a default head if there is none. */
    RevisionHead head()
    {
        Error reason;
        const auto object = this->run(this->client.read(std::string(headObjectName), reason));
        return object ? parseHead(object->value, reason).value_or(RevisionHead()) : RevisionHead();
    }

    boost::asio::io_context context;
    ObjectStore objects;
    HttpServer server;
    Endpoint endpoint;
    ObjectClient client;
    ConfigurationStore store;

private:
    Endpoint listen()
    {
        Error reason;
        return this->server.listen(Endpoint{"127.0.0.1", 0}, reason).value_or(Endpoint());
    }
};

} // namespace sassafrasyard
