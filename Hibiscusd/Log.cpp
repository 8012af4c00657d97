#include <Hibiscusd/Log.h>

#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>
#include <log4cxx/patternlayout.h>

namespace Hibiscus {

namespace {

log4cxx::LevelPtr toLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Trace:
        return log4cxx::Level::getTrace();
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warn:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

log4cxx::LayoutPtr makeLayout(LogLayout layout)
{
    if (layout == LogLayout::Json) {
        const auto json = std::make_shared<log4cxx::JSONLayout>();
        json->setLocationInfo(false);
        return json;
    }
    return std::make_shared<log4cxx::PatternLayout>("%d{ISO8601} %-5p %c: %m%n");
}

} // namespace

void setUpLog(const LogSettings &settings, std::string_view instance)
{
    const log4cxx::LayoutPtr layout = makeLayout(settings.layout);
    const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
    if (settings.file == "-") {
        const auto console = std::make_shared<log4cxx::ConsoleAppender>(layout);
        console->setTarget(log4cxx::ConsoleAppender::getSystemErr());
        log4cxx::helpers::Pool pool;
        console->activateOptions(pool);
        root->addAppender(console);
    } else {
        root->addAppender(std::make_shared<log4cxx::FileAppender>(layout, settings.file, true));
    }
    root->setLevel(toLevel(settings.level));
    log4cxx::MDC::put("instance", std::string(instance));
}

void writeLog(LogLevel level, const char *component, const std::string &text,
              const std::string &key)
{
    const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger(component);
    const log4cxx::LevelPtr nativeLevel = toLevel(level);
    if (!logger->isEnabledFor(nativeLevel))
        return;
    // The request's key goes into the diagnostic context, so that JSON lines have it as a separate
    // field.
    if (key.empty()) {
        logger->log(nativeLevel, text, log4cxx::spi::LocationInfo::getLocationUnavailable());
        return;
    }
    const log4cxx::MDC request("request", key);
    logger->log(nativeLevel, text + " [" + key + "]",
                log4cxx::spi::LocationInfo::getLocationUnavailable());
}

} // namespace Hibiscus
