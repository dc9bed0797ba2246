/** KV caches that a fake engine holds for attempts, its own and imported ones. */

/** Caches kept; the oldest leave first. */
const MAX_CACHES = 64;

interface KvCache {
  readonly promptDigest: string;
  readonly tokens: number;
}

/** Sets an entry as the newest; the oldest leaves where there are too many. */
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

  /** Tokens of a prompt and its answer that were imported and need not be computed. */
  countImported(promptDigest: string): number {
    return this.imported.get(promptDigest) ?? 0;
  }

  /** A line of JSON, filled up to the size that the tokens take. */
  export(attemptId: string): { readonly tokens: number; readonly bytes: Buffer } | undefined {
    const cache = this.caches.get(attemptId);
    if (cache === undefined) return undefined;
    const head = Buffer.from(`${JSON.stringify(cache)}\n`);
    const padding = Buffer.alloc(Math.max(0, cache.tokens * this.bytesPerToken - head.length));
    return { tokens: cache.tokens, bytes: Buffer.concat([head, padding]) };
  }

  import(bytes: Buffer): void {
    const head = bytes.subarray(0, bytes.indexOf('\n')).toString();
    const { promptDigest, tokens } = JSON.parse(head) as KvCache;
    setNewest(this.imported, promptDigest, tokens);
  }

  clear(): void {
    this.caches.clear();
    this.imported.clear();
  }
}
