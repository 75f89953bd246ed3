/// \file main.cpp
/// Drives one fuzz target without libFuzzer: plays inputs that are drawn from a seed, or files.
/// Usage: TARGET [--seed N] [--count N] [--write-seeds FOLDER] [FILE...]
#include "fuzztarget.h"

#include <popt.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <random>

#include <unistd.h>

namespace {

/// Most changes that are made to a valid input.
constexpr int maximumChanges = 8;
/// Largest input in bytes; the parsers' own limits are tested elsewhere.
constexpr std::size_t maximumSize = 65'536;
/// Bytes at which parsers decide.
constexpr std::string_view notableBytes("\0\x01\x7f\x80\xff\r\n \t:;,\"\\{}[]0-9eE.+", 25);

std::string currentInput; ///< Written by the signal handler.

extern "C" void writeInputAndEnd(int signalNumber)
{
    constexpr std::string_view digits = "0123456789abcdef";
    ssize_t written = write(STDERR_FILENO, "input: ", 7);
    for (const char byte : currentInput) {
        const auto value = static_cast<unsigned char>(byte);
        const char text[] = { digits[value / 16], digits[value % 16] };
        written = write(STDERR_FILENO, text, sizeof(text));
    }
    written = write(STDERR_FILENO, "\n", 1);
    static_cast<void>(written); // The process is ending.
    std::signal(signalNumber, SIG_DFL);
    std::raise(signalNumber);
}

void play(std::string input)
{
    currentInput = std::move(input);
    LLVMFuzzerTestOneInput(
        reinterpret_cast<const std::uint8_t *>(currentInput.data()), currentInput.size());
}

class InputMutator
{
public:
    InputMutator(std::vector<std::string> validInputs, std::uint64_t seed)
        : seeds(std::move(validInputs))
        , random(seed)
    {
    }

    std::string next()
    {
        std::string input = this->anySeed();
        for (std::size_t changes = 1 + this->below(maximumChanges); changes > 0; --changes) {
            (this->*operations[this->below(std::size(operations))])(input);
        }
        input.resize(std::min(input.size(), maximumSize));
        return input;
    }

private:
    using Operation = void (InputMutator::*)(std::string &input);

    std::size_t below(std::size_t limit)
    {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(this->random);
    }
    const std::string &anySeed() { return this->seeds[this->below(this->seeds.size())]; }
    std::size_t anyPosition(const std::string &input) { return this->below(input.size() + 1); }
    char anyByte() { return static_cast<char>(this->below(256)); }

    void flipBit(std::string &input)
    {
        if (!input.empty()) {
            char &byte = input[this->below(input.size())];
            byte = static_cast<char>(static_cast<unsigned char>(byte) ^ (1U << this->below(8)));
        }
    }
    void insertByte(std::string &input) { input.insert(this->anyPosition(input), 1, anyByte()); }
    void insertNotableByte(std::string &input)
    {
        input.insert(this->anyPosition(input), 1, notableBytes[this->below(notableBytes.size())]);
    }
    void erasePart(std::string &input) { input.erase(this->anyPosition(input), this->below(16)); }
    void truncate(std::string &input) { input.resize(this->anyPosition(input)); }
    void repeatPart(std::string &input)
    {
        const std::string part = input.substr(this->anyPosition(input), this->below(64));
        input.insert(this->anyPosition(input), part);
    }
    void joinOther(std::string &input)
    {
        const std::string &other = this->anySeed();
        input.resize(this->anyPosition(input));
        input += other.substr(this->anyPosition(other));
    }

    static constexpr Operation operations[] = { &InputMutator::flipBit, &InputMutator::insertByte,
        &InputMutator::insertNotableByte, &InputMutator::erasePart, &InputMutator::truncate,
        &InputMutator::repeatPart, &InputMutator::joinOther };

    std::vector<std::string> seeds;
    std::mt19937_64 random;
};

void writeSeeds(const std::string &folder, const std::vector<std::string> &seeds)
{
    for (std::size_t i = 0; i < seeds.size(); ++i) {
        std::ofstream file(folder + "/seed-" + std::to_string(i), std::ios::binary);
        file << seeds[i];
        wigeonsill::fuzzRequire(file.good(), "cannot write into " + folder);
    }
}

} // namespace

int main(int argc, const char **argv)
{
    long seed = 20261204;
    long count = 20'000;
    char *folder = nullptr;
    const poptOption options[] = {
        { "seed", 0, POPT_ARG_LONG, &seed, 0, "seed of the drawn inputs", "N" },
        { "count", 0, POPT_ARG_LONG, &count, 0, "number of drawn inputs", "N" },
        { "write-seeds", 0, POPT_ARG_STRING, &folder, 0, "write the valid inputs there", "FOLDER" },
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext context = poptGetContext(nullptr, argc, argv, options, 0);
    if (const int error = poptGetNextOpt(context); error < -1) {
        std::fprintf(stderr, "%s: %s\n", poptBadOption(context, 0), poptStrerror(error));
        return 2;
    }
    const std::vector<std::string> seeds = wigeonsill::fuzzSeeds();
    if (folder != nullptr) {
        writeSeeds(folder, seeds);
        return 0;
    }
    for (const int signalNumber : { SIGABRT, SIGSEGV, SIGBUS, SIGFPE }) {
        std::signal(signalNumber, writeInputAndEnd);
    }
    if (poptPeekArg(context) != nullptr) {
        while (const char *path = poptGetArg(context)) {
            std::ifstream file(path, std::ios::binary);
            wigeonsill::fuzzRequire(file.good(), std::string("cannot read ") + path);
            play({ std::istreambuf_iterator<char>(file), {} });
        }
        return 0;
    }
    for (const std::string &valid : seeds) {
        play(valid);
    }
    InputMutator mutator(seeds, static_cast<std::uint64_t>(seed));
    for (long i = 0; i < count; ++i) {
        play(mutator.next());
    }
    std::printf("%zu valid and %ld drawn inputs, seed %ld\n", seeds.size(), count, seed);
    return 0;
}
