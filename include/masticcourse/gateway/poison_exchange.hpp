/// @file
/// Spreads the suspicions of requests among the gateways.
///
/// Load pattern: the next attempt of a caller arrives at any other gateway within milliseconds. News are
/// flooded: a gateway tells its neighbours, and each gateway that learns something new tells its own. There
/// is nothing to send while no target ends. After a crash of many targets all gateways have news at once, so
/// each has at most one message on the way to a neighbour, and what comes up meanwhile goes into the next.
#pragma once

#include "masticcourse/gateway/commit_queue.hpp"
#include "masticcourse/gateway/peer_directory.hpp"
#include "masticcourse/gateway/poison_detection.hpp"
#include "masticcourse/gateway/poison_messages.hpp"
#include "masticcourse/telemetry/metrics.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace masticcourse::gateway
{

class poison_exchange
{
  public:
    /// What the exchange uses; references must outlive it.
    struct dependencies
    {
        poison_detection& detection;
        peer_directory& peers;
        /// Sends news to a gateway.
        peer_call send;
        delay_function delay;
        clock_function clock;
        /// Address of this gateway.
        std::string self;
        metrics_registry& metrics;
    };

    explicit poison_exchange(dependencies services);

    /// Asks other gateways for all they suspect, and to be told the news from then on. Used after the start
    /// and before the end, when this gateway serves callers but is not in the list of all others.
    void subscribe();

    /// Tells the other gateways of a request whose suspicion has changed.
    /// @param on_told called once the neighbours have confirmed it, after a short time at the latest
    void tell(const request_fingerprint& request, std::function<void()> on_told = {});

    /// Handles the news of another gateway.
    /// @return the encoded reply; nothing if the news are malformed
    [[nodiscard]] std::optional<std::string> serve(const std::string& bytes);

  private:
    using request_set = std::unordered_set<request_fingerprint, request_fingerprint_hash>;

    /// One call of tell(), until its neighbours have confirmed.
    struct telling
    {
        std::size_t unconfirmed = 0;
        std::function<void()> on_told;
    };

    using telling_ptr = std::shared_ptr<telling>;

    /// What is to be sent to one neighbour.
    struct outbox
    {
        bool sending = false;
        request_set waiting;
        std::vector<telling_ptr> tellings;
    };

    void subscribe(int tries_left);
    void subscribe_to(const std::string& gateway, int tries_left);
    /// @return the gateways that are told what is new here
    [[nodiscard]] std::vector<std::string> neighbours(time_point now) const;
    void add_subscriber(const std::string& gateway, time_point now);
    static void finish(telling& it);
    void send(const std::string& neighbour);
    void on_reply(const std::string& neighbour, const std::vector<telling_ptr>& confirmed,
                  const std::optional<std::string>& bytes);
    /// Takes over reports of another gateway and passes on those that are new.
    void merge(const std::vector<suspicion_report>& reports, const std::string& sender);
    /// @return the reports of the requests of @a news about which more is known here
    [[nodiscard]] std::vector<suspicion_report> newer_than(const std::vector<suspicion_report>& news) const;
    /// Updates the metrics after a change.
    void on_change();

    dependencies m_services;
    counter& m_messages;
    counter& m_failed;
    gauge& m_quarantined;
    std::unordered_map<std::string, outbox> m_outboxes;
    /// Gateways that have subscribed here, or that have told news and are in no list, and until when they are
    /// told.
    std::unordered_map<std::string, time_point> m_subscribers;
};

} // namespace masticcourse::gateway
