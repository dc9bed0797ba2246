/** KV caches that a fake engine holds for attempts, its own and imported ones. */

/** Caches kept; the oldest leave first. */
const MOST_CACHES = 64;

interface KvCache {
  readonly promptDigest: string;
  readonly tokens: number;
}

export class FakeKvCaches {
  private readonly caches = new Map<string, KvCache>();

  constructor(private readonly bytesPerToken: number) {}

  keep(attemptId: string, promptDigest: string, tokens: number): void {
    this.caches.delete(attemptId);
    this.caches.set(attemptId, { promptDigest, tokens });
    const oldest = this.caches.keys().next().value;
    if (this.caches.size > MOST_CACHES && oldest !== undefined) this.caches.delete(oldest);
  }

  /** Tokens that an attempt at this prompt need not compute. */
  countTokens(attemptId: string, promptDigest: string): number {
    const cache = this.caches.get(attemptId);
    return cache?.promptDigest === promptDigest ? cache.tokens : 0;
  }

  /** A line of JSON, filled up to the size that the tokens take. */
  export(attemptId: string): { readonly tokens: number; readonly bytes: Buffer } | undefined {
    const cache = this.caches.get(attemptId);
    if (cache === undefined) return undefined;
    const head = Buffer.from(`${JSON.stringify(cache)}\n`);
    const filling = Buffer.alloc(Math.max(0, cache.tokens * this.bytesPerToken - head.length));
    return { tokens: cache.tokens, bytes: Buffer.concat([head, filling]) };
  }

  import(attemptId: string, bytes: Buffer): void {
    const head = bytes.subarray(0, bytes.indexOf('\n')).toString();
    const { promptDigest, tokens } = JSON.parse(head) as KvCache;
    this.keep(attemptId, promptDigest, tokens);
  }

  clear(): void {
    this.caches.clear();
  }
}
