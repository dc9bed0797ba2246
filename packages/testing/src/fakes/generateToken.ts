/**
 * The text that fake engines generate. Token `position` of an answer depends on the prompt and
 * the position alone, so every engine gives the same answer, from the start or resumed.
 */
import { createHash } from 'node:crypto';
import type { ChatMessage } from '@hornbeampond/adapters';

/** Some longer than one byte a character, so that a cut within a character would show. */
const words = ['card', 'Zug', 'mint', 'près', 'Straße', 'rail', 'näher', 'Kayes', 'lot', '車'];

/** Names a prompt: equal messages have equal names. */
export function digestPrompt(messages: readonly ChatMessage[]): string {
  return createHash('sha256').update(JSON.stringify(messages)).digest('hex');
}

/** The token at `position` (from 0) of the answer to a prompt. */
export function generateToken(promptDigest: string, position: number): string {
  const hash = createHash('sha256').update(`${promptDigest}/${position}`).digest();
  return `${position === 0 ? '' : ' '}${words[hash.readUInt32BE() % words.length]}${position}`;
}

/** The answer's tokens from `start` (from 0) to before `end`, joined. */
export function generateText(promptDigest: string, start: number, end: number): string {
  return Array.from({ length: end - start }, (_, offset) =>
    generateToken(promptDigest, start + offset),
  ).join('');
}
