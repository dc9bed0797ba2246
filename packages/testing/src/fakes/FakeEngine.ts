/**
 * A fake model engine that serves the HTTP interface of `HttpEngineAdapter`: completions in a
 * bounded batch, resume, cancel, prefix cache events, KV cache export and import, load reports and
 * orders. It counts what it computes, and its methods inject faults.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  digestPrefixes,
  splitPrompt,
  TOKENS_PER_BLOCK,
  type CompletionBody,
} from '@hornbeampond/adapters';
import type { LoadReport, Milliseconds, Order } from '@hornbeampond/schema';
import { FakeBackendServer, type FakeBackendServerOptions } from './FakeBackendServer.js';
import { FakeBatch } from './FakeBatch.js';
import { FakeKvCaches } from './FakeKvCaches.js';
import { FakeOrderHandler, type EngineRole } from './FakeOrderHandler.js';
import { FakePrefixCache } from './FakePrefixCache.js';
import { answerJson, readRequestBody } from './FakeServer.js';
import { FakeStream, type FakeStreamLimits } from './FakeStream.js';
import { digestPrompt, generateText } from './generateToken.js';

const DEFAULT_CONCURRENCY = 8;
const DEFAULT_MAX_QUEUED = 64;
const DEFAULT_ANSWER_TOKENS = 32;
const DEFAULT_CACHE_BLOCKS = 1024;
const DEFAULT_CACHE_BYTES_PER_TOKEN = 16;

export interface FakeEngineOptions extends FakeBackendServerOptions {
  /** Model that is loaded at the start. */
  readonly model?: string;
  /** Maximum number of streams in the batch. */
  readonly concurrency?: number;
  /** Maximum number of calls that wait for a slot; further calls are refused with status 429. */
  readonly maxQueued?: number;
  /** Time from one token to the next; with 0, the default, no timer is used. */
  readonly tokenDelay?: Milliseconds;
  /** Fraction of `tokenDelay` that each other stream in the batch adds to it. */
  readonly slowdownPerStream?: number;
  /** Prefill time for one uncached token. */
  readonly prefillDelay?: Milliseconds;
  /** Length of an answer whose request has no `max_tokens`. */
  readonly answerTokens?: number;
  /** Maximum number of blocks in the prefix cache. */
  readonly cacheBlocks?: number;
  /** Size of an exported KV cache per token. */
  readonly cacheBytesPerToken?: number;
  /** If false, orders with old fencing numbers are accepted as well. */
  readonly checksFencing?: boolean;
  /** Time from the arrival of an order to its effect. */
  readonly orderDelay?: Milliseconds;
}

/** Totals since the engine was constructed; a restart does not reset them. */
export interface FakeEngineCounts {
  /** Completions that began to run. */
  runs: number;
  /** Answers sent completely. */
  finished: number;
  /** Running answers that ended early: cancelled, cut or abandoned by the caller. */
  stopped: number;
  /** Cancels that found their attempt. */
  cancelled: number;
  generatedTokens: number;
  /** Tokens of prompts and resumed texts that were computed because no cache had them. */
  prefilledTokens: number;
  /** The part of `prefilledTokens` that belongs to resumed runs. */
  recomputedTokens: number;
  /** Resumed requests refused because their text is not what the prompt generates. */
  wrongResumes: number;
}

interface WireCompletion extends CompletionBody {
  readonly stream?: boolean;
  readonly resume?: { readonly generated_text: string; readonly generated_tokens: number };
}

function parseCompletion(bytes: Buffer): WireCompletion | undefined {
  try {
    const body = JSON.parse(bytes.toString()) as WireCompletion;
    return Array.isArray(body.messages) ? body : undefined;
  } catch {
    return undefined;
  }
}

export class FakeEngine extends FakeBackendServer {
  readonly counts: FakeEngineCounts = {
    runs: 0,
    finished: 0,
    stopped: 0,
    cancelled: 0,
    generatedTokens: 0,
    prefilledTokens: 0,
    recomputedTokens: 0,
    wrongResumes: 0,
  };

  /** Runs by prompt digest, see `digestPrompt`. */
  readonly runsByPrompt = new Map<string, number>();

  readonly prefixCache: FakePrefixCache;

  private readonly streams = new Map<string, FakeStream>();

  private readonly kvCaches: FakeKvCaches;

  private batch: FakeBatch;

  private limits: FakeStreamLimits = {};

  private readonly orderHandler: FakeOrderHandler;

  private unnamedAttempts = 0;

  constructor(private readonly options: FakeEngineOptions = {}) {
    super(options, 'engine-1');
    const { cacheBlocks = DEFAULT_CACHE_BLOCKS } = options;
    this.prefixCache = new FakePrefixCache(this.instance, cacheBlocks, this.timers);
    this.kvCaches = new FakeKvCaches(options.cacheBytesPerToken ?? DEFAULT_CACHE_BYTES_PER_TOKEN);
    this.batch = this.makeBatch();
    this.orderHandler = new FakeOrderHandler({
      timers: this.timers,
      model: options.model,
      checksFencing: options.checksFencing ?? true,
      orderDelay: options.orderDelay ?? 0,
      onChange: () => this.notifyWaiters(),
    });
  }

  static async start(options: FakeEngineOptions = {}): Promise<FakeEngine> {
    const engine = new FakeEngine(options);
    await engine.restart();
    return engine;
  }

  get running(): number {
    return this.batch.running;
  }

  get queued(): number {
    return this.batch.queued;
  }

  get role(): EngineRole {
    return this.orderHandler.role;
  }

  /** Executed orders, in order of execution. */
  get orders(): readonly Order[] {
    return this.orderHandler.orders;
  }

  /** Stalls each stream once it has sent this many tokens itself; `undefined` resumes all. */
  stallStreamsAfter(tokens: number | undefined): void {
    this.limits = { ...this.limits, stallAfterTokens: tokens };
    this.streams.forEach((stream) => stream.setLimits(this.limits));
  }

  /** Closes the connection of each stream once it has sent this many tokens itself. */
  cutStreamsAfter(tokens: number | undefined): void {
    this.limits = { ...this.limits, cutAfterTokens: tokens };
    this.streams.forEach((stream) => stream.setLimits(this.limits));
  }

  setChecksFencing(checks: boolean): void {
    this.orderHandler.checksFencing = checks;
  }

  setOrdersFail(fail: boolean): void {
    this.orderHandler.ordersFail = fail;
  }

  protected override resetState(): void {
    super.resetState();
    this.streams.forEach((stream) => stream.stop());
    this.streams.clear();
    this.kvCaches.clear();
    this.prefixCache.clear();
    this.batch = this.makeBatch();
    this.orderHandler.resetFencing();
  }

  protected override async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? '/', this.url);
    const body = await readRequestBody(request);
    switch (`${request.method} ${url.pathname}`) {
      case 'POST /v1/chat/completions':
        await this.handleCompletion(request, response, body);
        break;
      case 'POST /engine/cancel':
        this.cancel(response, body);
        break;
      case 'GET /engine/cache':
        this.exportCache(response, url.searchParams.get('attempt') ?? '');
        break;
      case 'PUT /engine/cache':
        this.kvCaches.import(body);
        answerJson(response, 200, {});
        break;
      case 'GET /engine/load':
        answerJson(response, 200, this.reportEngineLoad());
        break;
      case 'GET /engine/cache-events':
        this.answerCacheEvents(response, Number(url.searchParams.get('after')));
        break;
      case 'POST /engine/orders':
        await this.answerOrder(response, JSON.parse(String(body)) as Order);
        break;
      case 'GET /health':
        answerJson(response, 200, { incarnation: this.incarnation });
        break;
      default:
        answerJson(response, 404, { error: 'not found' });
    }
  }

  private makeBatch(): FakeBatch {
    const { concurrency = DEFAULT_CONCURRENCY, maxQueued = DEFAULT_MAX_QUEUED } = this.options;
    const batch: FakeBatch = new FakeBatch(concurrency, maxQueued, () => {
      if (batch === this.batch) this.recordLoad(batch.running, batch.queued);
    });
    return batch;
  }

  private async handleCompletion(
    request: IncomingMessage,
    response: ServerResponse,
    bytes: Buffer,
  ): Promise<void> {
    if (!(await this.admitWork(request, response, bytes))) return;
    if (this.batch.full) {
      answerJson(response, 429, { error: 'the queue is full' });
      return;
    }
    const body = parseCompletion(bytes);
    if (body === undefined) {
      answerJson(response, 400, { error: 'the request is malformed' });
      return;
    }
    const promptDigest = digestPrompt(body.messages);
    if (!this.checkResume(promptDigest, body.resume)) {
      answerJson(response, 400, { error: 'the resumed text does not match the prompt' });
      return;
    }
    await this.runStream(request, response, body, promptDigest);
  }

  private checkResume(promptDigest: string, resume: WireCompletion['resume']): boolean {
    if (resume === undefined) return true;
    const expected = generateText(promptDigest, 0, resume.generated_tokens);
    if (expected === resume.generated_text) return true;
    this.counts.wrongResumes += 1;
    return false;
  }

  private async runStream(
    request: IncomingMessage,
    response: ServerResponse,
    body: WireCompletion,
    promptDigest: string,
  ): Promise<void> {
    this.unnamedAttempts += 1;
    const attemptId = String(request.headers['x-attempt-id'] ?? `unnamed-${this.unnamedAttempts}`);
    const stream = new FakeStream({
      attemptId,
      promptDigest,
      promptTokens: splitPrompt(body.messages).length,
      startPosition: body.resume?.generated_tokens ?? 0,
      endPosition: body.max_tokens ?? this.options.answerTokens ?? DEFAULT_ANSWER_TOKENS,
      model: body.model ?? this.orderHandler.loaded.model ?? '',
      readTokenDelay: () => this.readTokenDelay(),
      timers: this.timers,
      onToken: () => {
        this.counts.generatedTokens += 1;
        this.notifyWaiters();
      },
    });
    stream.setLimits(this.limits);
    this.streams.set(attemptId, stream);
    response.once('close', () => stream.stop());
    stream.open(response);
    const priority = Number(request.headers['x-request-priority'] ?? 0);
    const release = await this.batch.acquireSlot(priority, stream.signal);
    try {
      if (release === undefined) return;
      this.countRun(promptDigest);
      await stream.wait(this.prefill(body, stream) * (this.options.prefillDelay ?? 0));
      const finished = await stream.generate(response);
      this.counts[finished ? 'finished' : 'stopped'] += 1;
    } finally {
      release?.();
      this.endStream(attemptId, stream);
    }
  }

  private readTokenDelay(): Milliseconds {
    const { tokenDelay = 0, slowdownPerStream: slowdown = 0 } = this.options;
    return tokenDelay * (1 + slowdown * (this.batch.running - 1));
  }

  private countRun(promptDigest: string): void {
    this.counts.runs += 1;
    this.runsByPrompt.set(promptDigest, (this.runsByPrompt.get(promptDigest) ?? 0) + 1);
    this.notifyWaiters();
  }

  /** Computes the prompt and the resumed text; returns the number of uncached tokens. */
  private prefill({ messages, resume }: WireCompletion, stream: FakeStream): number {
    const digests = digestPrefixes(messages);
    const cachedPrompt = this.prefixCache.countCached(digests) * TOKENS_PER_BLOCK;
    const imported = this.kvCaches.countImported(stream.promptDigest);
    const neededTokens = stream.promptTokens + (resume?.generated_tokens ?? 0);
    const computedTokens = Math.max(0, neededTokens - Math.max(cachedPrompt, imported));
    this.prefixCache.store(digests);
    this.counts.prefilledTokens += computedTokens;
    if (resume !== undefined) this.counts.recomputedTokens += computedTokens;
    return computedTokens;
  }

  private endStream(attemptId: string, stream: FakeStream): void {
    if (this.streams.get(attemptId) !== stream) return;
    this.streams.delete(attemptId);
    this.kvCaches.store(attemptId, stream.promptDigest, stream.computedTokens);
    this.notifyWaiters();
  }

  private cancel(response: ServerResponse, body: Buffer): void {
    const { attemptId } = JSON.parse(body.toString()) as { attemptId: string };
    const stream = this.streams.get(attemptId);
    if (stream === undefined) {
      answerJson(response, 404, { error: 'no such attempt' });
      return;
    }
    this.counts.cancelled += 1;
    stream.stop();
    answerJson(response, 200, {});
  }

  private exportCache(response: ServerResponse, attemptId: string): void {
    const stream = this.streams.get(attemptId);
    if (stream !== undefined) {
      this.kvCaches.store(attemptId, stream.promptDigest, stream.computedTokens);
    }
    const cache = this.kvCaches.export(attemptId);
    if (cache === undefined) {
      answerJson(response, 404, { error: 'no such attempt' });
      return;
    }
    response.writeHead(200, { 'x-cache-tokens': String(cache.tokens) });
    response.end(cache.bytes);
  }

  private reportEngineLoad(): LoadReport {
    const report = this.reportLoad();
    const {
      tokenDelay = 0,
      concurrency = DEFAULT_CONCURRENCY,
      answerTokens = DEFAULT_ANSWER_TOKENS,
    } = this.options;
    const tokensPerSecond = tokenDelay > 0 ? (report.running * 1000) / tokenDelay : undefined;
    const firstTokenDelay = (report.queued * answerTokens * tokenDelay) / concurrency;
    return { ...report, ...this.orderHandler.loaded, tokensPerSecond, firstTokenDelay };
  }

  private answerCacheEvents(response: ServerResponse, afterSequence: number): void {
    answerJson(response, 200, this.prefixCache.readEvents(afterSequence));
  }

  private async answerOrder(response: ServerResponse, order: Order): Promise<void> {
    const result = await this.orderHandler.handleOrder(order, () => response.destroyed);
    if (!response.destroyed) answerJson(response, 200, { result });
  }
}
