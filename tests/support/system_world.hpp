/// @file
/// The real control cores of several entries and targets in virtual time, with small fakes at their
/// interfaces: connections, store, engines and services, callers. Every choice comes from one seed.
#pragma once

#include "platform_store.hpp"

#include "masticcourse/control/entry_core.hpp"
#include "masticcourse/control/target_core.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace masticcourse::tests
{

/// How large the world is, and how fast what is around the cores.
struct system_options
{
    std::uint64_t seed = 1;
    std::size_t entries = 3;
    std::size_t models = 2;
    std::size_t tools = 2;
    shard_index shards = 8;
    core_duration store_delay = std::chrono::milliseconds{3};
    core_duration model_time = std::chrono::milliseconds{60};
    core_duration tool_time = std::chrono::milliseconds{40};
    core_duration program_lease = std::chrono::seconds{4};
    std::size_t checkpoint_records = 40;
    token_count escrow_chunk = 2000;
    /// Keep all events, not only the latest.
    bool keep_trace = false;
    /// Take the processor time of each step. It changes no verdict.
    bool measure_cpu = false;
};

/// What went over the connections, to the store and through the cores so far.
struct system_traffic
{
    /// Messages and their encoded bytes, by their place in `peer_message`.
    std::map<std::size_t, std::uint64_t> messages;
    std::map<std::size_t, std::uint64_t> bytes;
    /// Encoded bytes sent and received by each process.
    std::map<process_name, std::uint64_t> of_process;
    /// Store operations and the bytes that they write, by their place in `store_op`.
    std::map<std::size_t, std::uint64_t> store_ops;
    std::uint64_t store_bytes = 0;
    std::uint64_t store_read_bytes = 0;
    /// Steps of the cores, and the processor time in them if `measure_cpu` is set.
    std::uint64_t entry_steps = 0;
    std::uint64_t target_steps = 0;
    std::chrono::nanoseconds entry_cpu{};
    std::chrono::nanoseconds target_cpu{};
};

/// The answer to one request of a caller.
struct caller_answer
{
    int status = 0;
    std::string body;
    /// Text of the streamed token events, after the last restart.
    std::string streamed;
    std::optional<std::chrono::milliseconds> retry_after;
    std::optional<config_version> etag;
    std::uint64_t last_event = 0;
};

/// Takes the answer to a request; status 0: the connection broke.
using answer_handler = std::function<void(const caller_answer&)>;

/// What one target's engine or service has done.
struct target_record
{
    /// How often each call really ran.
    std::map<call_ref, std::uint32_t> runs;
    /// Programs that hold engine memory.
    std::map<program_id, token_count> held;
    /// Tokens computed for each program.
    std::map<program_id, token_count> computed;
};

/// What a tool answers to a call.
[[nodiscard]] std::string tool_answer(const call_ref& call, const std::string& input);

class system_world
{
  public:
    explicit system_world(system_options options);
    ~system_world();
    system_world(const system_world&) = delete;
    system_world(system_world&&) = delete;
    system_world& operator=(const system_world&) = delete;
    system_world& operator=(system_world&&) = delete;

    /// @name Time
    /// @{
    [[nodiscard]] core_time now() const;
    void run_for(core_duration time);
    /// @return whether the condition came to hold within the time
    bool run_until(const std::function<bool()>& condition, core_duration longest);
    /// Calls back after a time.
    void after(core_duration time, std::function<void()> action);
    /// @}

    /// @name Callers
    /// @{
    /// Sends a request to an entry; a dead or cut off one breaks the connection.
    /// @return a number by which the caller can hang up
    std::uint64_t request(std::size_t entry, forward_request raw, answer_handler on_answer);
    void hang_up(std::uint64_t request);
    /// @}

    /// @name Faults
    /// @{
    /// Ends a process at once. @param silent its connections go silent instead of closing (the VM is gone)
    void kill_entry(std::size_t entry, bool silent);
    void start_entry(std::size_t entry);
    void freeze_entry(std::size_t entry, core_duration time);
    void stop_entry(std::size_t entry);
    void kill_target(std::size_t target, bool silent);
    void start_target(std::size_t target);
    void freeze_target(std::size_t target, core_duration time);
    /// The target leaves: it is told, and the list says so later.
    void stop_target(std::size_t target);
    /// No message passes between two processes; open connections between them stay silent for good.
    void cut(const process_name& a, const process_name& b);
    void heal(const process_name& a, const process_name& b);
    void cut_from_store(const process_name& process, bool cut);
    /// The open connections between two processes go silent for good; new ones work.
    void silence(const process_name& a, const process_name& b);
    /// The next answers of a target are lost after it ran.
    void lose_backend_answers(std::size_t target, std::uint32_t count);
    void hang_backend(std::size_t target, bool hangs);
    [[nodiscard]] standins::platform_store& store();
    /// @}

    /// @name What happened
    /// @{
    [[nodiscard]] const target_record& record(std::size_t target) const;
    [[nodiscard]] std::uint32_t runs_of(const call_ref& call) const;
    [[nodiscard]] token_count computed_for(const program_id& root) const;
    [[nodiscard]] bool any_memory_held() const;
    [[nodiscard]] entry_counts entry_state(std::size_t entry) const;
    [[nodiscard]] target_counts target_state(std::size_t target) const;
    [[nodiscard]] bool entry_alive(std::size_t entry) const;
    [[nodiscard]] bool target_alive(std::size_t target) const;
    [[nodiscard]] std::size_t shards_owned() const;
    [[nodiscard]] std::uint64_t events(event_id id) const;
    [[nodiscard]] const system_options& options() const;
    [[nodiscard]] const system_traffic& traffic() const;
    /// Destroys a core, and only it, and asks for the heap's size before and after.
    /// @return the bytes that the core held
    std::int64_t weigh_entry(std::size_t entry, const std::function<std::int64_t()>& heap);
    std::int64_t weigh_target(std::size_t target, const std::function<std::int64_t()>& heap);
    [[nodiscard]] std::uint64_t random(std::uint64_t below);
    /// @return the latest events, for a failing test's report
    [[nodiscard]] std::string trace() const;
    void note(const std::string& what);
    /// @}

    [[nodiscard]] process_name entry_name(std::size_t entry) const;
    [[nodiscard]] process_name target_name(std::size_t target) const;
    [[nodiscard]] bool is_model(std::size_t target) const;

  private:
    struct node;
    struct scheduled
    {
        core_time at;
        std::uint64_t order;
        std::function<void()> action;
        friend bool operator<(const scheduled& a, const scheduled& b)
        {
            return std::pair{a.at, a.order} > std::pair{b.at, b.order};
        }
    };
    struct wire
    {
        std::array<node*, 2> ends{};
        std::array<link_id, 2> ids{};
        std::array<std::uint64_t, 2> lives{};
        std::array<core_time, 2> last_delivery{};
        bool silent = false;
        bool open = false;
    };
    struct caller
    {
        std::size_t entry = 0;
        std::uint64_t life = 0;
        request_id id = 0;
        answer_handler on_answer;
        caller_answer answer;
    };

    void run_due(core_time until);
    void step(node& at);
    void perform(node& at, const entry_output& output);
    void perform(node& at, const target_output& output);
    void answer_callers(node& at, const entry_output& output);
    static void take_event(caller_answer& answer, const caller_event& event);
    void do_send(node& at, const send_peer& order);
    void do_open(node& at, const open_peer& order);
    void do_close(node& at, const close_peer& order);
    void do_store(node& at, const run_store_op& order);
    void do_start(node& at, const engine_start& order);
    void do_cancel(node& at, const engine_cancel& order);
    void do_list(node& at);
    void do_trace(const node& at, const trace_event& event);
    void stream_answer(node& at, const engine_start& order, core_duration time);
    void finish_call(node& at, const call_ref& call, call_outcome outcome);
    void deliver(node& to, std::uint64_t life, entry_input input, core_duration delay);
    void take(node& to, entry_input input);
    void break_wires(node& of, bool silent);
    void end_callers(std::size_t entry);
    [[nodiscard]] bool is_cut(const process_name& a, const process_name& b) const;
    [[nodiscard]] node* find(const std::string& address);
    [[nodiscard]] wire* find_wire(const node& at, link_id link, std::size_t& end);
    [[nodiscard]] core_duration network_delay();
    [[nodiscard]] std::vector<known_process> all_processes() const;
    [[nodiscard]] entry_options options_for_entry(std::size_t entry);
    [[nodiscard]] target_options options_for_target(std::size_t target);
    [[nodiscard]] node& target_node(std::size_t target) const;
    void make_core(node& made);

    system_options m_options;
    std::mt19937_64 m_random;
    core_time m_now{};
    std::uint64_t m_order = 0;
    std::uint64_t m_lives = 0;
    std::priority_queue<scheduled> m_queue;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::vector<std::unique_ptr<wire>> m_wires;
    std::set<std::pair<process_name, process_name>> m_cuts;
    std::set<process_name> m_cut_from_store;
    standins::platform_store m_store;
    std::map<std::uint64_t, caller> m_callers;
    std::uint64_t m_next_caller = 1;
    std::map<event_id, std::uint64_t> m_events;
    system_traffic m_traffic;
    std::vector<std::string> m_trace;
};

} // namespace masticcourse::tests
