#include "engineserver.h"
#include "standins/common/standinserver.h"

using namespace sassafrasyard;

int main(int argc, char **argv)
{
    const StandinFlags flags(argc, argv);
    boost::asio::io_context context(1);
    EngineServer engine(context, flags);
    return serveStandin(context, flags,
                        [&engine](const HttpRequest &request, HttpResponder &responder) {
                            return engine.handle(request, responder);
                        });
}
