#pragma once

#include "configuration/configuration.h"

#include <string>

namespace sassafrasyard {

/** Test documents: a model, a template with or without a required parameter, and accounts. */
struct DocumentSamples
{
    static ProposedDocument model()
    {
        return {{DocumentKind::Model, "plan"}, R"({"versions":["v1","v2"]})"};
    }

    /** @param requiresRate whether accounts must set the parameter "rate"; else it is unknown. */
    static ProposedDocument accountTemplate(bool requiresRate)
    {
        const std::string parameters = requiresRate ? R"({"rate":{"type":"number"}})" : "{}";
        const std::string rate = requiresRate ? R"({"parameter":"rate"})" : "5";
        return {{DocumentKind::Template, "store"},
                R"({"account":{"key_digests":[],"models":[{"name":"plan"}],"requests_per_second":)"
                        + rate + R"(},"parameters":)" + parameters + "}"};
    }

    static ProposedDocument account(int number, bool hasRate, int rate = 1)
    {
        const std::string parameters =
                hasRate ? R"({"rate":)" + std::to_string(rate) + "}" : std::string("{}");
        return {{DocumentKind::Account, "a" + std::to_string(number)},
                R"({"parameters":)" + parameters + R"(,"template":"store"})"};
    }

    static ChangeRequest change(std::string identifier, std::vector<ProposedDocument> documents)
    {
        ChangeRequest request;
        request.identifier = std::move(identifier);
        request.documents = std::move(documents);
        return request;
    }
};

} // namespace sassafrasyard
