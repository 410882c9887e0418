#include "objectstore.h"
#include "standins/common/standinserver.h"

using namespace sassafrasyard;

int main(int argc, char **argv)
{
    const StandinFlags flags(argc, argv);
    boost::asio::io_context context(1);
    ObjectStore store(context);
    return serveStandin(context, flags,
                        [&store](const HttpRequest &request, HttpResponder &responder) {
                            return store.handle(request, responder);
                        });
}
