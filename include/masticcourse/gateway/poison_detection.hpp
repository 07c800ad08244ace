/// @file
/// Detects poison requests, those under which the targets end that read them, and decides how long they are
/// refused.
///
/// Load pattern: one request ends the process of each target that reads it. Its caller repeats it after each
/// failure, through other gateways and under new ids, so that a single caller takes a service down target by
/// target. With each target also end the other requests that it was handling, which are innocent and must go
/// on.
///
/// What tells them apart: ends count only one after another. The end of a target counts on top of those that
/// were known when the request was sent to it. So requests that are lost together, in a crash of many
/// targets, are suspected once, however many of them have the same content; and a response of any target
/// clears.
#pragma once

#include "masticcourse/gateway/request_fingerprint.hpp"
#include "masticcourse/gateway/time.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace masticcourse::gateway
{

/// How strongly a request is suspected. The greater of two suspicions of a request is the newer one.
struct suspicion
{
    /// Increased by each response that clears the request.
    std::uint32_t generation = 0;
    /// Targets that ended under the request, one after another, since it was cleared.
    std::uint32_t ends = 0;

    friend auto operator<=>(const suspicion&, const suspicion&) = default;
};

/// The suspicion of one request, as gateways tell it each other.
struct suspicion_report
{
    request_fingerprint request;
    suspicion state;
    /// Time since the state changed. Clocks of different gateways are never compared.
    milliseconds age{};

    friend bool operator==(const suspicion_report&, const suspicion_report&) = default;
};

struct poison_options
{
    /// After that many ends one after another a request is quarantined: it is sent to no target. One crash
    /// ends the targets of many requests, and a second one during the repeat is rare; three in a row that
    /// have another cause than the request are not to be expected.
    std::uint32_t max_ends = 3;
    /// The quarantine after the last of these ends; it doubles with each further one.
    milliseconds min_quarantine = std::chrono::minutes{1};
    milliseconds max_quarantine = std::chrono::minutes{16};
    /// Time after which a suspicion, or what is left of it after a quarantine, is forgotten.
    milliseconds memory = std::chrono::minutes{1};
    /// Requests in quarantine at the same time. If more appear, targets end for another reason.
    std::size_t max_quarantined = 32;
    /// Requests that are remembered; beyond, the least suspected ones are forgotten first.
    std::size_t max_requests = 1'024;
    /// How long the answer to a request shows that its content does not end targets.
    milliseconds answered_memory = std::chrono::seconds{10};
    /// Answered requests that are remembered; a request replaces the one that shares its slot.
    std::size_t answered_slots = 1'024;
};

class poison_detection
{
  public:
    explicit poison_detection(poison_options options = {})
        : m_options(options), m_answered(options.answered_slots)
    {
    }

    /// @return whether no request is suspected or has been lately
    [[nodiscard]] bool empty() const
    {
        return m_entries.empty();
    }

    [[nodiscard]] suspicion find(const request_fingerprint& request, time_point now) const;

    /// @return the rest of the request's quarantine; nothing if it may be sent
    [[nodiscard]] std::optional<milliseconds> quarantine(const request_fingerprint& request,
                                                         time_point now) const;

    /// Records that a target ended under a request.
    /// @param at_send the suspicion of the request when it was sent to that target
    /// @return the suspicion now
    suspicion record_end(const request_fingerprint& request, suspicion at_send, time_point now);

    /// Records that a target has responded to a request.
    /// @return whether that cleared the request
    bool record_response(const request_fingerprint& request, time_point now);

    /// Takes over what another gateway reports.
    /// @return whether it is newer than what was known
    bool merge(const suspicion_report& report, time_point now);

    [[nodiscard]] std::optional<suspicion_report> report(const request_fingerprint& request,
                                                         time_point now) const;
    /// @return the reports of at most @a max_count requests, the most suspected ones first
    [[nodiscard]] std::vector<suspicion_report> reports(std::size_t max_count, time_point now) const;

    /// Forgets what is out of date.
    void sweep(time_point now);

    /// @return the number of requests in quarantine
    [[nodiscard]] std::size_t quarantined(time_point now) const;

  private:
    struct entry
    {
        suspicion state;
        time_point changed_at{};
    };

    struct answered_request
    {
        request_fingerprint request;
        time_point at{};
    };

    [[nodiscard]] answered_request& slot_of(const request_fingerprint& request);
    [[nodiscard]] bool answered_lately(const request_fingerprint& request, time_point now);
    [[nodiscard]] milliseconds quarantine_after(const suspicion& state) const;
    [[nodiscard]] time_point forgotten_at(const entry& it) const;
    [[nodiscard]] bool is_quarantined(const entry& it, time_point now) const;
    /// @return the entry of a request, or null if there is none or it is out of date
    [[nodiscard]] const entry* find_entry(const request_fingerprint& request, time_point now) const;
    /// Sets the state of a request, within the limits of the table.
    suspicion set(const request_fingerprint& request, suspicion state, time_point changed_at, time_point now);
    void make_room(time_point now);

    poison_options m_options;
    std::unordered_map<request_fingerprint, entry, request_fingerprint_hash> m_entries;
    std::vector<answered_request> m_answered;
};

} // namespace masticcourse::gateway
