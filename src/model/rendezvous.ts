/**
 * Rendezvous hashing (Thaler and Ravishankar 1998): each node ranks the members
 * by a hash, so that all nodes assign a role to the same member. If a member
 * joins or leaves, only its own roles move.
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** A 32-bit hash of a text: FNV-1a with a final mix, so that similar names get different ranks. */
export function hash32(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash ^= text.charCodeAt(index);
    hash = Math.imul(hash, FNV_PRIME);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Sorts names by their rank for a role, highest first. */
export function rankNames(role: string, names: readonly string[]): string[] {
  const scored = names.map((name) => ({ name, score: hash32(`${role}/${name}`) }));
  scored.sort((left, right) => right.score - left.score || (left.name < right.name ? -1 : 1));
  return scored.map((entry) => entry.name);
}
