/** How many tokens of an engine's memory a request takes. */
import type { CallerRequest } from '../entryEvents.js';

/** Without the prefix that it shares with other requests, which the engine holds once. */
export function countMemoryTokens(request: CallerRequest): number {
  const { promptTokens, prefixTokens, maxTokens } = request;
  const sharedTokens = Math.min(promptTokens, prefixTokens?.at(-2) ?? 0);
  return promptTokens - sharedTokens + maxTokens;
}
