/**
 * The HTTP server for callers that use this project's own API. It authenticates each request,
 * enforces size limits, parses chat completions and passes the request to `onRequest`. Requests that
 * fail these checks are refused here; all further decisions are the reducer's.
 */
import { createHash } from 'node:crypto';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import {
  HornbeampondError,
  type CallerBounds,
  type CallerCloseReason,
  type EntrySettings,
  type Milliseconds,
} from '@hornbeampond/schema';
import {
  digestKey,
  HttpConnections,
  writeProblem,
  type HeldBytes,
  type TrackedResponse,
} from '@hornbeampond/transport';
import type { TimerService } from '@hornbeampond/runtime';
import {
  digestPrefixes,
  splitPrompt,
  type CompletionBody,
  type HeaderLine,
} from '@hornbeampond/adapters';
import type { CallerRequest } from '@hornbeampond/entry-core';
import type { CallerAnswer } from './CallerAnswer.js';
import { HeldBodies } from './HeldBodies.js';
import { HttpServerLifecycle } from './HttpServerLifecycle.js';
import type { CallerListener } from './CallerListener.js';
import { CompletionAnswer } from './CompletionAnswer.js';
import { PlainAnswer } from './PlainAnswer.js';
import { parseCompletion } from './parseCompletion.js';
import type { CallerConnectionLimits } from './chooseConnectionLimits.js';

/** A caller's request with its headers, body and answer. */
export interface CallerExchange {
  /** The part that is passed to the reducer. */
  readonly request: CallerRequest;
  readonly headers: IncomingMessage['headers'];
  readonly body: Buffer;
  /** Headers that are sent to the backend server; set only for opaque calls. */
  readonly forwardedHeaders?: readonly HeaderLine[];
  /** Set only for chat completions. */
  readonly completion: CompletionBody | undefined;
  readonly answer: CallerAnswer;
}

export interface CallerServerOptions {
  readonly settings: EntrySettings;
  readonly timers: TimerService;
  /** Returns a globally unique id. */
  makeRequestId(): string;
  /** Called with each connection that is accepted. */
  onConnection(): void;
  onRequest(exchange: CallerExchange): void;
  onCallerDisconnect(requestId: string): void;
  /** Called for requests that are refused before they reach the reducer. */
  onRefused(error: unknown): void;
  readonly limits: CallerConnectionLimits;
  /** Called once for each connection that is closed without an answer. */
  onClosing(reason: CallerCloseReason): void;
  /** Called at intervals with the memory that all connections take. */
  onMeasured(held: HeldBytes): void;
}

export const COMPLETIONS_PATH = '/v1/chat/completions';

/** Used if a chat completion does not set `max_tokens`. */
const DEFAULT_MAX_TOKENS = 1024;

const MAX_IDEMPOTENCY_KEY_CHARACTERS = 256;

/** How long callers may take. */
const TIME_BOUNDS = { headerMilliseconds: 60_000, idleMilliseconds: 60_000 };

export class CallerServer implements CallerListener {
  private readonly server: Server;

  private readonly lifecycle: HttpServerLifecycle;

  private readonly workspaceByKeyDigest: ReadonlyMap<string, string>;

  private readonly heldBodies: HeldBodies;

  private readonly connections: HttpConnections;

  constructor(private readonly options: CallerServerOptions) {
    const { settings, limits, timers, onRefused, onClosing, onMeasured } = options;
    this.heldBodies = new HeldBodies(limits.bodyBytes);
    this.workspaceByKeyDigest = new Map(
      settings.workspaces.map((workspace) => [workspace.keySha256, workspace.name]),
    );
    const { headerBytes, bodyBytes } = settings.limits;
    const bounds: CallerBounds = { ...TIME_BOUNDS, headerBytes, bodyBytes };
    this.connections = new HttpConnections({
      timers,
      limits,
      readBounds: () => bounds,
      onRefused,
      onClosing,
      onMeasured,
    });
    this.server = this.connections.createServer(
      { maxHeaderSize: headerBytes },
      (request, response) => {
        this.handleRequest(request, response).catch((error: unknown) =>
          this.refuseRequest(response, error),
        );
      },
    );
    this.lifecycle = new HttpServerLifecycle(this.server, options.timers);
    this.server.on('connection', () => options.onConnection());
  }

  async listen(): Promise<number> {
    return this.lifecycle.listen(this.options.settings.listen);
  }

  stopListening(): void {
    this.lifecycle.stopListening();
  }

  async close(timeout: Milliseconds): Promise<void> {
    await this.lifecycle.close(timeout);
    this.connections.close();
  }

  private refuseRequest(response: ServerResponse, error: unknown): void {
    // The caller has left, or was refused, while its body was read.
    if (response.destroyed) return;
    this.options.onRefused(error);
    if (response.headersSent) {
      response.destroy();
      return;
    }
    // The unread rest of a body would be parsed as the next request on the connection.
    response.setHeader('connection', 'close');
    writeProblem(response, error);
  }

  private async handleRequest(request: IncomingMessage, response: TrackedResponse): Promise<void> {
    const { settings } = this.options;
    if (response.refusal !== undefined) throw response.refusal;
    const workspace = this.authenticate(request);
    const connection = this.connections.find(request.socket);
    const { bodyBytes } = settings.limits;
    const body = await this.heldBodies.read(request, response, bodyBytes, connection);
    const exchange = this.makeExchange(request, response, workspace, body);
    const { requestId } = exchange.request;
    response.on('close', () => {
      if (!response.writableEnded) this.options.onCallerDisconnect(requestId);
    });
    this.options.onRequest(exchange);
  }

  private authenticate(request: IncomingMessage): string {
    const [scheme, key] = (request.headers.authorization ?? '').split(' ');
    if (scheme?.toLowerCase() !== 'bearer' || key === undefined) {
      throw new HornbeampondError('unauthorized', 'Send "Authorization: Bearer KEY"');
    }
    const digest = digestKey(key);
    const workspace = this.workspaceByKeyDigest.get(digest);
    if (workspace === undefined)
      throw new HornbeampondError('unauthorized', 'The key is not known');
    return workspace;
  }

  private makeExchange(
    message: IncomingMessage,
    response: ServerResponse,
    workspace: string,
    body: Buffer,
  ): CallerExchange {
    const method = message.method ?? 'GET';
    const url = new URL(message.url ?? '/', 'http://callers');
    const path = url.pathname + url.search;
    const requestId = this.options.makeRequestId();
    const idempotencyKey = this.readIdempotencyKey(message);
    const digest = createHash('sha256').update(`${method}\n${path}\n`).update(body).digest('hex');
    const commonFields = {
      requestId,
      workspace,
      method,
      path,
      digest,
      ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
    };
    const { answerBytes } = this.options.settings.limits;
    const { headers } = message;
    if (url.pathname !== COMPLETIONS_PATH) {
      const request = { ...commonFields, prefixDigests: [], promptTokens: 0, maxTokens: 0 };
      const options = { isBuffered: idempotencyKey !== undefined, maxBytes: answerBytes };
      const answer = new PlainAnswer(requestId, response, options);
      return { request, headers, body, completion: undefined, answer };
    }
    if (method !== 'POST') {
      throw new HornbeampondError('methodNotAllowed', `Send POST to ${COMPLETIONS_PATH}`);
    }
    const completion = parseCompletion(body);
    const request = {
      ...commonFields,
      ...(completion.model === undefined ? {} : { model: completion.model }),
      prefixDigests: digestPrefixes(completion.messages),
      promptTokens: splitPrompt(completion.messages).length,
      maxTokens: completion.max_tokens ?? DEFAULT_MAX_TOKENS,
    };
    const answer = new CompletionAnswer(requestId, response, {
      model: completion.model ?? '',
      streamed: completion.stream === true,
      created: Math.floor(this.options.timers.wallNow() / 1000),
      // The limit in bytes is applied to the number of characters of the generated text.
      maxCharacters: answerBytes,
    });
    return { request, headers, body, completion, answer };
  }

  private readIdempotencyKey(message: IncomingMessage): string | undefined {
    const key = message.headers['idempotency-key'];
    if (key === undefined) return undefined;
    if (typeof key !== 'string' || key === '' || key.length > MAX_IDEMPOTENCY_KEY_CHARACTERS) {
      const detail = `Idempotency-Key must have 1 to ${MAX_IDEMPOTENCY_KEY_CHARACTERS} characters`;
      throw new HornbeampondError('badRequest', detail);
    }
    return key;
  }
}
