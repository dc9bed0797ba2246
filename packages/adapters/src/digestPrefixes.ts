/**
 * Computes the digests by which engines identify prompt prefixes in their cache events: one for
 * each complete block of tokens, which covers all blocks up to and including that block. A token is
 * approximated by a word; if an engine tokenizes differently, only cache hints become less
 * accurate.
 */
import { createHash } from 'node:crypto';
import type { ChatMessage } from './EngineAdapter.js';

/** Tokens in one block of the prefix cache. */
export const TOKENS_PER_BLOCK = 16;

const DIGEST_CHARACTERS = 16;

/** Splits the messages of a prompt into approximate tokens. */
export function splitPrompt(messages: readonly ChatMessage[]): string[] {
  return messages.flatMap(({ role, content }) => {
    const text = typeof content === 'string' ? content : JSON.stringify(content);
    return [`<${role}>`, ...text.split(/\s+/).filter((word) => word !== '')];
  });
}

/** Computes the digests of the prefixes of a prompt, shortest first. */
export function digestPrefixes(messages: readonly ChatMessage[]): string[] {
  const tokens = splitPrompt(messages);
  const digests: string[] = [];
  const hash = createHash('sha256');
  const blockCount = Math.floor(tokens.length / TOKENS_PER_BLOCK);
  for (let block = 0; block < blockCount; block += 1) {
    const start = block * TOKENS_PER_BLOCK;
    hash.update(JSON.stringify(tokens.slice(start, start + TOKENS_PER_BLOCK)));
    digests.push(hash.copy().digest('hex').slice(0, DIGEST_CHARACTERS));
  }
  return digests;
}
