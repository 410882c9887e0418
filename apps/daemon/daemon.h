#pragma once

#include "control/control.h"
#include "entry/entry.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace sassafrasyard {

/** One entry host: composes all services and runs until a planned stop is complete. */
class Daemon
{
public:
    /** Creates the services. @param settings have been checked. */
    explicit Daemon(Settings settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /** Runs until SIGTERM or SIGINT and the end of all requests. @return the exit code. */
    int run();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace sassafrasyard
