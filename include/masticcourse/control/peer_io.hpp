/// @file
/// Inputs and outputs that both control cores share: connections to other processes, traces, stopping.
#pragma once

#include "masticcourse/core/ids.hpp"
#include "masticcourse/messages/peer_message.hpp"
#include "masticcourse/store/store_op.hpp"
#include "masticcourse/telemetry/event.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace masticcourse
{

/// Names a connection to another of the system's processes.
using link_id = std::uint64_t;
/// Names an operation on the platform's store.
using store_op_id = std::uint64_t;

/// @name Inputs
/// @{

struct peer_opened
{
    link_id link = 0;
};

struct peer_closed
{
    link_id link = 0;
};

struct peer_received
{
    link_id link = 0;
    peer_message message;
};

/// The process was asked to stop: hand over and finish what is under way.
struct stop_requested
{
};

/// The answer to a `run_store_op`.
struct store_done
{
    store_op_id id = 0;
    store_reply reply;
};
/// @}

/// @name Outputs
/// @{

struct open_peer
{
    link_id link = 0;
    std::string address;
};

struct send_peer
{
    link_id link = 0;
    peer_message message;
};

struct close_peer
{
    link_id link = 0;
};

struct run_store_op
{
    store_op_id id = 0;
    store_op operation;
};

/// Something for the logs and the time line.
struct trace_event
{
    event_id id{};
    program_id program;
    call_key call;
    std::vector<event_field> fields;
};

/// Nothing is under way and everything was handed over: the process may end.
struct ready_to_stop
{
};
/// @}

} // namespace masticcourse
