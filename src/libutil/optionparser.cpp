/// \file optionparser.cpp
/// Parses command lines with popt.
#include "wigeonsill/util.h"

#include <cstdio>
#include <deque>
#include <popt.h>

namespace wigeonsill {

namespace {
constexpr int versionOption = 1;
constexpr int helpOption = 2;
constexpr int usageExitStatus = 2;
} // namespace

struct OptionParser::Private
{
    struct ParsedText
    {
        char *poptValue = nullptr;
        std::string *value = nullptr;
    };
    struct ParsedFlag
    {
        int poptValue = 0;
        bool *value = nullptr;
    };
    struct ParsedNumber
    {
        long long poptValue = 0;
        std::int64_t *value = nullptr;
    };

    std::string program;
    std::string version;
    std::string summary;
    std::string noteText;
    std::string usage = "[OPTION...]";
    std::vector<poptOption> options;
    std::deque<ParsedText> texts;
    std::deque<ParsedFlag> flags;
    std::deque<ParsedNumber> numbers;

    void copyParsedValues();
};

OptionParser::OptionParser(std::string program, std::string version, std::string summary)
    : d(std::make_unique<Private>())
{
    this->d->program = std::move(program);
    this->d->version = std::move(version);
    this->d->summary = std::move(summary);
}

OptionParser::~OptionParser() = default;

OptionParser &OptionParser::text(
    const char *name, char shortName, std::string *value, const char *help, const char *argument)
{
    auto &parsedOption = this->d->texts.emplace_back();
    parsedOption.value = value;
    this->d->options.push_back(
        { name, shortName, POPT_ARG_STRING, &parsedOption.poptValue, 0, help, argument });
    return *this;
}

OptionParser &OptionParser::number(
    const char *name, std::int64_t *value, const char *help, const char *argument)
{
    auto &parsedOption = this->d->numbers.emplace_back();
    parsedOption.value = value;
    parsedOption.poptValue = *value;
    this->d->options.push_back(
        { name, '\0', POPT_ARG_LONGLONG, &parsedOption.poptValue, 0, help, argument });
    return *this;
}

OptionParser &OptionParser::flag(const char *name, char shortName, bool *value, const char *help)
{
    auto &parsedOption = this->d->flags.emplace_back();
    parsedOption.value = value;
    this->d->options.push_back(
        { name, shortName, POPT_ARG_NONE, &parsedOption.poptValue, 0, help, nullptr });
    return *this;
}

OptionParser &OptionParser::notes(std::string text)
{
    this->d->noteText = std::move(text);
    return *this;
}

OptionParser &OptionParser::positional(std::string usage)
{
    this->d->usage = "[OPTION...] " + std::move(usage);
    return *this;
}

void OptionParser::Private::copyParsedValues()
{
    for (ParsedText &parsedOption : this->texts) {
        if (parsedOption.poptValue != nullptr) {
            *parsedOption.value = parsedOption.poptValue;
        }
    }
    for (ParsedFlag &parsedOption : this->flags) {
        *parsedOption.value = *parsedOption.value || parsedOption.poptValue != 0;
    }
    for (ParsedNumber &parsedOption : this->numbers) {
        *parsedOption.value = parsedOption.poptValue;
    }
}

boost::outcome_v2::basic_result<std::vector<std::string>, int, boost::outcome_v2::policy::terminate>
OptionParser::parse(int argc, char **argv)
{
    std::vector<poptOption> poptTable = this->d->options;
    poptTable.push_back(
        { "help", 'h', POPT_ARG_NONE, nullptr, helpOption, "Show this help and exit", nullptr });
    poptTable.push_back({ "version", '\0', POPT_ARG_NONE, nullptr, versionOption,
        "Show the version and exit", nullptr });
    poptTable.push_back({ nullptr, '\0', 0, nullptr, 0, nullptr, nullptr });

    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext(
            this->d->program.c_str(), argc, const_cast<const char **>(argv), poptTable.data(), 0),
        &poptFreeContext);
    poptSetOtherOptionHelp(context.get(), this->d->usage.c_str());

    int optionCode = 0;
    while ((optionCode = poptGetNextOpt(context.get())) > 0) {
        if (optionCode == versionOption) {
            std::printf("%s %s\n", this->d->program.c_str(), this->d->version.c_str());
            return 0;
        }
        if (optionCode == helpOption) {
            std::printf("%s\n\n", this->d->summary.c_str());
            std::fflush(stdout);
            poptPrintHelp(context.get(), stdout, 0);
            std::printf("\n%s\n", this->d->noteText.c_str());
            return 0;
        }
    }
    if (optionCode < -1) {
        std::fprintf(stderr, "%s: %s: %s\nTry '%s --help'.\n", this->d->program.c_str(),
            poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), poptStrerror(optionCode),
            this->d->program.c_str());
        return usageExitStatus;
    }
    this->d->copyParsedValues();
    std::vector<std::string> arguments;
    while (const char *argument = poptGetArg(context.get())) {
        arguments.emplace_back(argument);
    }
    return arguments;
}

} // namespace wigeonsill
