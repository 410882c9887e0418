#include "entry/positions/sha256hasher.h"

#include <openssl/evp.h>

#include <cassert>

namespace sassafrasyard {

struct Sha256Hasher::Implementation
{
    std::unique_ptr<EVP_MD, decltype(&EVP_MD_free)> algorithm{
            EVP_MD_fetch(nullptr, "SHA256", nullptr), &EVP_MD_free};
    std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context{EVP_MD_CTX_new(),
                                                                    &EVP_MD_CTX_free};
};

Sha256Hasher::Sha256Hasher()
    : implementation(std::make_unique<Implementation>())
{
    assert(this->implementation->algorithm && this->implementation->context);
}

Sha256Hasher::~Sha256Hasher() = default;

Sha256Hasher &Sha256Hasher::forCurrentThread()
{
    thread_local Sha256Hasher hasher;
    return hasher;
}

Sha256Hasher::Digest Sha256Hasher::digest(std::span<const std::string_view> parts)
{
    EVP_MD_CTX *context = this->implementation->context.get();
    Digest result{};
    EVP_DigestInit_ex2(context, this->implementation->algorithm.get(), nullptr);
    for (const std::string_view part : parts)
        EVP_DigestUpdate(context, part.data(), part.size());
    EVP_DigestFinal_ex(context, result.data(), nullptr);
    return result;
}

} // namespace sassafrasyard
