/**
 * Deterministic text of fake engines. A token depends only on the prompt and the position, so
 * every engine generates the same answer to a prompt, whether from the start or resumed.
 */
import { createHash } from 'node:crypto';
import type { ChatMessage } from '@hornbeampond/adapters';

/** Some have multi-byte characters, so that tests detect a split within a character. */
const words = ['card', 'Zug', 'mint', 'près', 'Straße', 'rail', 'näher', 'Kayes', 'lot', '車'];

/** Returns a digest that identifies a prompt: equal messages have equal digests. */
export function digestPrompt(messages: readonly ChatMessage[]): string {
  return createHash('sha256').update(JSON.stringify(messages)).digest('hex');
}

/** The token at `position` (from 0) of the answer to a prompt. */
export function generateToken(promptDigest: string, position: number): string {
  const hash = createHash('sha256').update(`${promptDigest}/${position}`).digest();
  return `${position === 0 ? '' : ' '}${words[hash.readUInt32BE() % words.length]}${position}`;
}

/** The text of the tokens at positions `start` (from 0) up to but excluding `end`. */
export function generateText(promptDigest: string, start: number, end: number): string {
  return Array.from({ length: end - start }, (_, offset) =>
    generateToken(promptDigest, start + offset),
  ).join('');
}
