/// @file
/// JSON-RPC 2.0 control calls between the system's processes, over any transport that carries text both ways.
/// Plain C++14 without the RPC library's types: that library needs C++14, the rest of the project C++20.
#pragma once

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

namespace masticcourse
{

/// The ids of failures that are not a method's own (JSON-RPC 2.0, and those of the library's connectors).
enum class rpc_error_id : int
{
    parse_error = -32700,
    invalid_request = -32600,
    method_not_found = -32601,
    invalid_params = -32602,
    internal_error = -32603,
    /// The answer is no JSON-RPC document.
    invalid_response = -32001,
    /// The transport failed; the call may have run.
    transport = -32003,
};

/// A call that failed. A method may throw one with an id of its own, which its caller then gets.
class rpc_error : public std::runtime_error
{
  public:
    rpc_error(int id, const std::string& message) : std::runtime_error(message), m_id(id) {}

    rpc_error(rpc_error_id id, const std::string& message) : rpc_error(static_cast<int>(id), message) {}

    int id() const noexcept
    {
        return m_id;
    }

  private:
    int m_id;
};

/// Answers requests by methods. Once all methods are added, any thread may call `handle`.
class rpc_server
{
  public:
    /// Takes the parameters as JSON text ("null" if there are none) and returns the result as JSON text.
    /// What it throws becomes the caller's error.
    using method = std::function<std::string(const std::string& json_params)>;

    rpc_server();
    rpc_server(const rpc_server&) = delete;
    rpc_server(rpc_server&&) = delete;
    rpc_server& operator=(const rpc_server&) = delete;
    rpc_server& operator=(rpc_server&&) = delete;
    ~rpc_server();

    /// @throws std::invalid_argument if there is a method of that name
    void add_method(const std::string& name, method function);

    /// @return the answer as text, whatever @a request_text is
    std::string handle(const std::string& request_text);

  private:
    class dispatcher;
    std::unique_ptr<dispatcher> m_dispatcher;
};

/// Calls methods of a server.
class rpc_client
{
  public:
    /// Carries a request to the server and returns its answer; throws if it can't.
    using transport = std::function<std::string(const std::string& request_text)>;

    explicit rpc_client(transport send_request);
    rpc_client(const rpc_client&) = delete;
    rpc_client(rpc_client&&) = delete;
    rpc_client& operator=(const rpc_client&) = delete;
    rpc_client& operator=(rpc_client&&) = delete;
    ~rpc_client();

    /// @param json_params an object or array as JSON text, or "null"
    /// @return the result as JSON text
    /// @throws rpc_error if the server says so, or the transport fails
    std::string call(const std::string& method, const std::string& json_params);

  private:
    class connection;
    std::unique_ptr<connection> m_connection;
};

} // namespace masticcourse
