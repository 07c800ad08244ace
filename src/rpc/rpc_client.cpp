#include "json_text.hpp"

#include "masticcourse/net/rpc.hpp"

#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/common/errors.h>

#include <utility>

namespace masticcourse
{

namespace
{

/// Carries the library's messages over the project's transport.
class text_connector : public jsonrpc::IClientConnector
{
  public:
    explicit text_connector(rpc_client::transport carry) : m_carry(std::move(carry)) {}

    /// Anything else that left this function would end the process: the library names what may be thrown.
    void SendRPCMessage(const std::string& message,
                        std::string& result) throw(jsonrpc::JsonRpcException) override
    {
        try
        {
            result = m_carry(message);
        }
        catch (const std::exception& error)
        {
            throw jsonrpc::JsonRpcException(static_cast<int>(rpc_error_id::transport), error.what());
        }
    }

  private:
    rpc_client::transport m_carry;
};

} // namespace

/// The library's client over the project's connector.
class rpc_client::connection
{
  public:
    explicit connection(transport carry) : m_connector(std::move(carry)), m_client(m_connector) {}

    std::string call(const std::string& method, const std::string& json_params)
    {
        Json::Value params;
        if (!detail::parse_json(json_params, params))
        {
            throw rpc_error(rpc_error_id::invalid_params, "the parameters are no JSON");
        }
        try
        {
            return detail::write_json(m_client.CallMethod(method, params));
        }
        catch (const jsonrpc::JsonRpcException& error)
        {
            throw rpc_error(error.GetCode(), error.GetMessage());
        }
    }

  private:
    text_connector m_connector;
    jsonrpc::Client m_client;
};

rpc_client::rpc_client(transport carry) : m_connection(new connection(std::move(carry))) {}

rpc_client::~rpc_client() = default;

std::string rpc_client::call(const std::string& method, const std::string& json_params)
{
    return m_connection->call(method, json_params);
}

} // namespace masticcourse
