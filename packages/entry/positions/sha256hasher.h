#pragma once

#include <array>
#include <memory>
#include <span>
#include <string_view>

namespace sassafrasyard {

/**
 * Computes SHA-256 digests with a reused OpenSSL context.
 *
 * OpenSSL's one-shot function looks up the algorithm at each call, which costs more than hashing a
 * token. An instance is not thread-safe.
 */
class Sha256Hasher
{
public:
    /** A digest of 32 bytes. */
    using Digest = std::array<unsigned char, 32>;

    /** Fetches the algorithm and creates the context. */
    Sha256Hasher();
    ~Sha256Hasher();
    Sha256Hasher(const Sha256Hasher &) = delete;
    Sha256Hasher &operator=(const Sha256Hasher &) = delete;

    /** Returns the hasher of the calling thread; it must not be passed to other threads. */
    static Sha256Hasher &forCurrentThread();

    /** Returns the digest of the concatenation of the parts. */
    Digest digest(std::span<const std::string_view> parts);

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace sassafrasyard
