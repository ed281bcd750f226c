// The corpus of the fuzzers, and a fixed number of mutations of it with a fixed seed, through the fuzzers' entry functions.

#include "fuzz/targets.h"

#include <catch2/catch.hpp>
#include <pcg_random.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

using namespace arbutus;

namespace {

constexpr std::uint64_t Seed = 38;
constexpr int MutationsPerTarget = 20'000;
constexpr std::size_t MaxInputBytes = 4'096;

std::vector<std::string> readCorpus(std::string_view target)
{
    std::vector<std::filesystem::path> paths;
    for (const auto &entry : std::filesystem::directory_iterator(std::filesystem::path(ARBUTUS_FUZZ_CORPUS) / target)) {
        paths.push_back(entry.path());
    }
    std::sort(paths.begin(), paths.end()); // the order of a directory differs between machines
    std::vector<std::string> inputs;
    for (const std::filesystem::path &path : paths) {
        std::ifstream file(path, std::ios::binary);
        inputs.emplace_back(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    }
    return inputs;
}

/// Texts that parsers of numbers, strings and nesting are likely to get wrong; the binary ones are Protobuf numbers.
const std::vector<std::string> Tokens{"-1",
                                      "0",
                                      "1e300",
                                      "-1e300",
                                      "1e400",
                                      "9223372036854775807",
                                      "18446744073709551615",
                                      "10000000000000000000000000000000",
                                      "0.5",
                                      "null",
                                      "true",
                                      "{}",
                                      "[]",
                                      "\"\"",
                                      "\"\\u0000\"",
                                      "\"70000\"",
                                      ":70000",
                                      ":0",
                                      "====",
                                      "\xff",
                                      std::string(100, '['),
                                      std::string(300, 'a'),
                                      std::string("\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01", 10),
                                      std::string("\x80\x80\x80\x80\x80\x80\x80\x80\x80\x01", 10),
                                      std::string("\x00\x00\x00\x00\x00\x00\xf8\x7f", 8),
                                      std::string("\x00\x00\x00\x00\x00\x00\xf0\xff", 8)};

class Mutator
{
public:
    explicit Mutator(const std::vector<std::string> &corpus)
        : m_corpus(corpus)
    {
    }

    std::string next()
    {
        std::string input = pick(m_corpus);
        for (std::size_t i = 1 + below(4); i > 0; --i) {
            mutate(input);
        }
        input.resize(std::min(input.size(), MaxInputBytes));
        return input;
    }

private:
    std::size_t below(std::size_t bound)
    {
        return m_random(static_cast<std::uint32_t>(bound));
    }
    const std::string &pick(const std::vector<std::string> &texts)
    {
        return texts[below(texts.size())];
    }
    /// End of a JSON value, or of something like it, that begins at `from`.
    static std::size_t valueEnd(const std::string &input, std::size_t from)
    {
        return std::min(input.find_first_of(",]}", from), input.size());
    }
    void mutate(std::string &input)
    {
        const std::size_t at = below(input.size() + 1);
        const std::size_t length = std::min(below(16) + 1, input.size() - at);
        switch (below(6)) {
        case 0:
            if (at < input.size()) {
                input[at] = static_cast<char>(below(256));
            }
            break;
        case 1:
            input.erase(at, length);
            break;
        case 2:
            input.insert(at, input.substr(at, length));
            break;
        case 3:
            input.insert(at, pick(Tokens));
            break;
        case 4: // another value for a field
            if (const std::size_t colon = input.find(':', at); colon != std::string::npos) {
                input.replace(colon + 1, valueEnd(input, colon + 1) - colon - 1, pick(Tokens));
            }
            break;
        default: { // the end of another input
            const std::string &other = pick(m_corpus);
            input = input.substr(0, at) + other.substr(std::min(other.size(), at));
            break;
        }
        }
    }

    const std::vector<std::string> &m_corpus;
    pcg32 m_random{Seed};
};

std::string toHex(const std::string &bytes)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string out;
    for (const unsigned char byte : bytes) {
        out += Digits[byte >> 4U];
        out += Digits[byte & 15U];
    }
    return out;
}

} // namespace

TEST_CASE("no input of another process breaks what must hold for any input", "[fuzz]")
{
    const fuzz::Target target = GENERATE(from_range(fuzz::Targets.begin(), fuzz::Targets.end()));
    const std::vector<std::string> corpus = readCorpus(target.name);
    REQUIRE_FALSE(corpus.empty());
    const char *longRun = std::getenv("ARBUTUS_LONG");
    const int mutations = MutationsPerTarget * (longRun == nullptr ? 1 : 10);
    Mutator mutator(corpus);
    for (int i = -static_cast<int>(corpus.size()); i < mutations; ++i) {
        const std::string input = i < 0 ? corpus[static_cast<std::size_t>(-i - 1)] : mutator.next();
        try {
            target.run(input);
        } catch (const std::exception &error) {
            FAIL(target.name << ", input " << i << ": " << error.what() << "; bytes " << toHex(input));
        }
    }
    SUCCEED(target.name);
}
