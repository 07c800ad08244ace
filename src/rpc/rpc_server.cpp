#include "json_text.hpp"

#include "masticcourse/net/rpc.hpp"

#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <map>
#include <utility>

namespace masticcourse
{

namespace
{

/// Translates what a method throws to the library's error, which becomes the answer.
std::string run_method(const rpc_server::method& function, const std::string& params)
{
    try
    {
        return function(params);
    }
    catch (const rpc_error& error)
    {
        throw jsonrpc::JsonRpcException(error.id(), error.what());
    }
    catch (const std::exception& error)
    {
        throw jsonrpc::JsonRpcException(static_cast<int>(rpc_error_id::internal_error), error.what());
    }
}

/// Hands one request to the library and keeps its answer.
class text_connector : public jsonrpc::AbstractServerConnector
{
  public:
    bool StartListening() override
    {
        return true;
    }

    bool StopListening() override
    {
        return true;
    }

    bool SendResponse(const std::string& response, void* answer) override
    {
        *static_cast<std::string*>(answer) = response;
        return true;
    }
};

} // namespace

/// Finds the method that a request names, on the library's behalf.
class rpc_server::dispatcher : public jsonrpc::IProcedureInvokationHandler
{
  public:
    dispatcher()
        : m_protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
    {
        m_connector.SetHandler(m_protocol.get());
    }

    void add(const std::string& name, method function)
    {
        if (!m_methods.emplace(name, std::move(function)).second)
        {
            throw std::invalid_argument("rpc method added twice: " + name);
        }
        m_protocol->AddProcedure(
            jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
    }

    std::string handle(const std::string& request)
    {
        std::string answer;
        m_connector.OnRequest(request, &answer);
        return answer;
    }

    void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                          Json::Value& output) override
    {
        const auto& function = m_methods.at(procedure.GetProcedureName());
        const auto result = run_method(function, detail::write_json(input));
        if (!detail::parse_json(result, output))
        {
            throw jsonrpc::JsonRpcException(static_cast<int>(rpc_error_id::internal_error),
                                            "the method's result is no JSON");
        }
    }

    void HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) override
    {
        // No notification is ever added.
    }

  private:
    std::map<std::string, method> m_methods;
    std::unique_ptr<jsonrpc::IProtocolHandler> m_protocol;
    text_connector m_connector;
};

rpc_server::rpc_server() : m_dispatcher(new dispatcher) {}

rpc_server::~rpc_server() = default;

void rpc_server::add_method(const std::string& name, method function)
{
    m_dispatcher->add(name, std::move(function));
}

std::string rpc_server::handle(const std::string& request_text)
{
    return m_dispatcher->handle(request_text);
}

} // namespace masticcourse
