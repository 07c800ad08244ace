/// @file
/// JSON-RPC 2.0 control calls between processes, over any request-response text transport. This header is
/// valid C++14 and does not expose the RPC library's types, because that library requires C++14 while the
/// rest of the project uses C++20.
#pragma once

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

namespace masticcourse
{

/// Error codes not raised by a method itself: those of JSON-RPC 2.0 and those of the library's connectors.
enum class rpc_error_id : int
{
    parse_error = -32700,
    invalid_request = -32600,
    method_not_found = -32601,
    invalid_params = -32602,
    internal_error = -32603,
    /// The response is not a JSON-RPC document.
    invalid_response = -32001,
    /// The transport failed; the call may have been executed.
    transport = -32003,
};

/// A failed call. Methods may throw it with an application-defined id, which is passed on to the caller.
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

/// Dispatches requests to registered methods. `handle` is thread-safe once all methods have been added.
class rpc_server
{
  public:
    /// Receives the parameters as JSON text ("null" if there are none) and returns the result as JSON text.
    /// Exceptions are reported to the caller as errors.
    using method = std::function<std::string(const std::string& json_params)>;

    rpc_server();
    rpc_server(const rpc_server&) = delete;
    rpc_server(rpc_server&&) = delete;
    rpc_server& operator=(const rpc_server&) = delete;
    rpc_server& operator=(rpc_server&&) = delete;
    ~rpc_server();

    /// @throws std::invalid_argument if a method of that name is already registered
    void add_method(const std::string& name, method function);

    /// @return the JSON-RPC response text; an error response if @a request_text is malformed
    std::string handle(const std::string& request_text);

  private:
    class dispatcher;
    std::unique_ptr<dispatcher> m_dispatcher;
};

class rpc_client
{
  public:
    /// Sends a request to the server and returns the response text; throws on failure.
    using transport = std::function<std::string(const std::string& request_text)>;

    explicit rpc_client(transport send_request);
    rpc_client(const rpc_client&) = delete;
    rpc_client(rpc_client&&) = delete;
    rpc_client& operator=(const rpc_client&) = delete;
    rpc_client& operator=(rpc_client&&) = delete;
    ~rpc_client();

    /// @param json_params an object or array as JSON text, or "null"
    /// @return the result as JSON text
    /// @throws rpc_error if the server returns an error or the transport fails
    std::string call(const std::string& method, const std::string& json_params);

  private:
    class connection;
    std::unique_ptr<connection> m_connection;
};

} // namespace masticcourse
