/**
 * Whether the memory of an engine holds one more request. An engine whose memory is full preempts a
 * running request and prefills its prompt again later. A prefix that prompts share is held once, so
 * only the request itself is counted with it.
 */
export interface MemoryInputs {
  /** Tokens that the engine holds. */
  readonly capacity: number;
  /** Tokens of this entry's requests in progress there, without shared prefixes. */
  readonly ownTokens: number;
  /** Requests of the other entries in progress there. */
  readonly otherRequests: number;
  /** Mean tokens of a request of the pool. */
  readonly meanTokens: number;
  /** Tokens of the prompt and the answer of the request. */
  readonly requestTokens: number;
}

export function fitsMemory(inputs: MemoryInputs): boolean {
  const { capacity, ownTokens, otherRequests, meanTokens, requestTokens } = inputs;
  // A request larger than the engine is for the engine to refuse.
  if (ownTokens === 0 && otherRequests === 0) return true;
  return ownTokens + otherRequests * meanTokens + requestTokens <= capacity;
}
