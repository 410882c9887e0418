#pragma once

#include "control/control.h"
#include "entry/entry.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace sassafrasyard {

/** One entry host: composes all services and runs until a graceful shutdown is complete. */
class Daemon
{
public:
    /** Creates the services. @param settings must be valid, as returned by readSettings(). */
    explicit Daemon(Settings settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /** Runs until SIGTERM or SIGINT and the end of active requests. @return the exit code. */
    int run();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace sassafrasyard
