/// \file logging.cpp
/// Logging with log4cplus, as text or JSON lines.
#include "wigeonsill/util.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>

#include <iostream>

namespace wigeonsill {

namespace {

/// Formats each log event as a JSON object on one line.
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
        // The word after "request " is the request id. Its own member makes one request traceable
        // across processes.
        const std::string &message = event.getMessage();
        constexpr std::string_view requestMarker = "request ";
        const std::size_t markerPosition = message.find(requestMarker);
        if (markerPosition != std::string::npos) {
            const std::size_t idStart = markerPosition + requestMarker.size();
            line["request"]
                = message.substr(idStart, message.find_first_of(" :,.", idStart) - idStart);
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
    for (char &character : level) {
        character = static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
    }
    root.setLogLevel(log4cplus::getLogLevelManager().fromString(level));
}

log4cplus::Logger logger(std::string_view prefix)
{
    return log4cplus::Logger::getInstance(std::string(prefix));
}

} // namespace wigeonsill
