/// \file logging.cpp
/// Logging by log4cplus: short sentences, one prefix for each part.
#include "wigeonsill/util.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>

#include <iostream>

namespace wigeonsill {

namespace {

/// Writes each event as one JSON object on a line.
class JsonLayout : public log4cplus::Layout
{
public:
    void formatAndAppend(
        log4cplus::tostream &output, const log4cplus::spi::InternalLoggingEvent &event) override
    {
        boost::json::object line;
        const auto sinceEpoch = event.getTimestamp().time_since_epoch();
        line["time_us"] = std::chrono::duration_cast<Duration>(sinceEpoch).count();
        line["level"] = this->llmCache.toString(event.getLogLevel());
        line["part"] = event.getLoggerName();
        line["message"] = event.getMessage();
        // The text between "request " and the next blank is the request id, so that one request
        // can be followed across processes.
        const std::string &message = event.getMessage();
        constexpr std::string_view marker = "request ";
        const std::size_t at = message.find(marker);
        if (at != std::string::npos) {
            const std::size_t start = at + marker.size();
            line["request"] = message.substr(start, message.find_first_of(" :,.", start) - start);
        }
        output << boost::json::serialize(line) << '\n';
    }
};

} // namespace

void initializeLogging(const LogOptions &options)
{
    static log4cplus::Initializer initializer;
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    auto *appender = new log4cplus::ConsoleAppender(true, true);
    if (options.json) {
        appender->setLayout(std::make_unique<JsonLayout>());
    } else {
        appender->setLayout(
            std::make_unique<log4cplus::PatternLayout>("%D{%H:%M:%S.%q} %-5p %c: %m%n"));
    }
    root.addAppender(log4cplus::SharedAppenderPtr(appender));
    std::string level = options.level;
    for (char &letter : level) {
        letter = static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
    }
    root.setLogLevel(log4cplus::getLogLevelManager().fromString(level));
}

log4cplus::Logger logger(std::string_view prefix)
{
    return log4cplus::Logger::getInstance(std::string(prefix));
}

} // namespace wigeonsill
