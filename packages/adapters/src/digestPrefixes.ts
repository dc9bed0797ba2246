/**
 * Names the prefixes of a prompt as engines name them in their cache events: one digest for each
 * whole block of tokens, and each digest covers all blocks up to and including its own. A token
 * is taken to be a word here; where an engine counts otherwise, only its hints get worse.
 */
import { createHash } from 'node:crypto';
import type { ChatMessage } from './EngineAdapter.js';

/** Tokens in one block of the prefix cache. */
export const TOKENS_PER_BLOCK = 16;

const DIGEST_CHARACTERS = 16;

/** Splits the messages of a prompt into tokens. */
export function splitPrompt(messages: readonly ChatMessage[]): string[] {
  return messages.flatMap(({ role, content }) => {
    const text = typeof content === 'string' ? content : JSON.stringify(content);
    return [`<${role}>`, ...text.split(/\s+/).filter((word) => word !== '')];
  });
}

/** Digests of a prompt's prefixes, shortest first. */
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
