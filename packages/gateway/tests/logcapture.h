#pragma once

#include "observability/observability.h"

#include <iostream>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasyard {

/** Collects the log lines of this process during its lifetime. */
class LogCapture
{
public:
    /** Starts to collect. */
    LogCapture()
        : original(std::cout.rdbuf(this->text.rdbuf()))
    {
        static const bool isStarted = [] {
            startLogging("host", LogLevel::Info, LogTarget::StandardOutput);
            return true;
        }();
        static_cast<void>(isStarted);
    }
    ~LogCapture() { std::cout.rdbuf(this->original); }
    LogCapture(const LogCapture &) = delete;
    LogCapture &operator=(const LogCapture &) = delete;

    /** Returns the lines of an event. */
    std::vector<std::string> lines(std::string_view eventName) const
    {
        std::vector<std::string> found;
        std::istringstream all(this->text.str());
        const std::string name = "\"name\":\"" + std::string(eventName) + "\"";
        for (std::string line; std::getline(all, line);) {
            if (line.find(name) != std::string::npos)
                found.push_back(line);
        }
        return found;
    }

    /** Returns the value of a field of a line, or an empty text if it is missing. */
    static std::string field(const std::string &line, std::string_view name)
    {
        const std::string label = "\"" + std::string(name) + "\":\"";
        const std::size_t start = line.find(label);
        if (start == std::string::npos)
            return {};
        const std::size_t value = start + label.size();
        return line.substr(value, line.find('"', value) - value);
    }

private:
    std::ostringstream text;
    std::streambuf *original;
};

} // namespace sassafrasyard
