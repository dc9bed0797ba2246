/** The KV caches of a fake engine: its own by attempt, and imported ones by prompt. */

/** Limit for own and for imported caches each; the oldest is evicted first. */
const MAX_CACHES = 64;

interface KvCache {
  readonly promptDigest: string;
  readonly tokens: number;
}

/** Sets a key as the newest and evicts the oldest if the map exceeds `MAX_CACHES`. */
function setNewest<Value>(map: Map<string, Value>, key: string, value: Value): void {
  map.delete(key);
  map.set(key, value);
  const oldest = map.keys().next().value;
  if (map.size > MAX_CACHES && oldest !== undefined) map.delete(oldest);
}

export class FakeKvCaches {
  /** Tokens of imported caches by prompt. */
  private readonly imported = new Map<string, number>();

  private readonly caches = new Map<string, KvCache>();

  constructor(private readonly bytesPerToken: number) {}

  store(attemptId: string, promptDigest: string, tokens: number): void {
    setNewest(this.caches, attemptId, { promptDigest, tokens });
  }

  /** Number of tokens of a prompt and its answer in an imported cache. */
  countImported(promptDigest: string): number {
    return this.imported.get(promptDigest) ?? 0;
  }

  /** Encodes a cache as a line of JSON, padded to `bytesPerToken` for each token. */
  export(attemptId: string): { readonly tokens: number; readonly bytes: Buffer } | undefined {
    const cache = this.caches.get(attemptId);
    if (cache === undefined) return undefined;
    const header = Buffer.from(`${JSON.stringify(cache)}\n`);
    const padding = Buffer.alloc(Math.max(0, cache.tokens * this.bytesPerToken - header.length));
    return { tokens: cache.tokens, bytes: Buffer.concat([header, padding]) };
  }

  import(bytes: Buffer): void {
    const header = bytes.subarray(0, bytes.indexOf('\n')).toString();
    const { promptDigest, tokens } = JSON.parse(header) as KvCache;
    setNewest(this.imported, promptDigest, tokens);
  }

  clear(): void {
    this.caches.clear();
    this.imported.clear();
  }
}
