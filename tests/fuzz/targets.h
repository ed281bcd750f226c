// Entry functions for inputs that other processes write: the fuzzers and fuzztest call the same ones.
//
// Each function decodes the input, passes the result on as an instance does and checks what must hold for any input. It throws
// Violation if something does not hold. An input that is refused is a normal result.

#pragma once

#include <array>
#include <stdexcept>
#include <string_view>

namespace arbutus::fuzz {

/// Something that must hold for any input does not hold.
class Violation : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

void announcement(std::string_view input);     // value of an upstream's entry in the platform's store
void configuration(std::string_view input);    // the platform's configuration, and the product's log entries and snapshots
void storeAnswer(std::string_view input);      // body of the platform's store, of a range and of a watch
void fleetMessage(std::string_view input);     // datagrams and metadata snapshots between instances that forward by route
void clusterMessage(std::string_view input);   // datagrams and ledger calls between instances of the product's own interface
void clientRequest(std::string_view input);    // bytes of a connection: heads, chunks with their extensions, trailers
void upstreamResponse(std::string_view input); // bytes of a connection to an upstream: heads of interim and final responses

struct Target
{
    std::string_view name; // of its directory in corpus/
    void (*run)(std::string_view input);
};

inline constexpr std::array Targets{
    Target{"announcement", announcement},
    Target{"configuration", configuration},
    Target{"store_answer", storeAnswer},
    Target{"fleet_message", fleetMessage},
    Target{"cluster_message", clusterMessage},
    Target{"client_request", clientRequest},
    Target{"upstream_response", upstreamResponse},
};

} // namespace arbutus::fuzz
