"""Estimates of prompt length, and hashes of a prompt's prefixes.

If engines hash prefixes in the same way as nodes, a node can find out which
engine has a prefix cached.
"""

import xxhash

CHARACTERS_PER_TOKEN = 4
BLOCK_TOKENS = 64
MAX_BLOCKS = 64


def estimate_tokens(text: str) -> int:
    """Estimates the number of tokens in a text; at least 1."""
    return len(text) // CHARACTERS_PER_TOKEN + 1


def hash_prefixes(
    text: str, *, block_tokens: int = BLOCK_TOKENS
) -> tuple[int, ...]:
    """Hashes the prefixes of a text that consist of whole blocks.

    Args:
        text: the prompt.
        block_tokens: the estimated number of tokens in a block.

    Returns:
        One hash for each of at most ``MAX_BLOCKS`` prefixes, the shortest
        prefix first. Two texts share a hash if they share the whole prefix.
    """
    size = block_tokens * CHARACTERS_PER_TOKEN
    blocks = min(len(text) // size, MAX_BLOCKS)
    digest = xxhash.xxh64()
    hashes = []
    for block in range(blocks):
        digest.update(text[block * size : (block + 1) * size].encode())
        hashes.append(digest.intdigest())
    return tuple(hashes)
