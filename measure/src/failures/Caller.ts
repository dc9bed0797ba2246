/**
 * One caller in a closed loop: it sends a request, checks the answer, and sends the next. It knows
 * what the answer must be, since the fakes generate it from the prompt alone. When a connection
 * ends without an answer it sends the same request again through another entry, as the balancer
 * would have it.
 */
import { setTimeout as wait } from 'node:timers/promises';
import { digestPrompt, generateText } from '@hornbeampond/testing';
import type { ProblemDocument } from '@hornbeampond/schema';
import { request, type Dispatcher } from 'undici';
import { clusterKeys } from '../processes/ProcessCluster.js';
import type { Tally } from './Tally.js';

export interface CallerOptions {
  readonly name: string;
  readonly tally: Tally;
  /** Picks an entry's URL, as the balancer does. */
  pickEntry(): string;
  isStopped(): boolean;
}

const ANSWER_TOKENS = 40;
const REQUEST_MILLISECONDS = 40_000;
const MOST_SENDS = 20;
const PAUSE_MILLISECONDS = 200;

/** Every second of those is sent twice at once. */
const CALLS_PER_DOUBLE = 6;

/** Every third request is a call that may not be repeated. */
const CALLS_PER_RESERVATION = 3;

const authorization = `Bearer ${clusterKeys.workspace}`;

type Outcome =
  | { readonly type: 'whole'; readonly right: boolean }
  | { readonly type: 'problem'; readonly problem: ProblemDocument }
  /** The connection ended without a final answer. */
  | { readonly type: 'cut' };

interface Chunk {
  readonly choices?: readonly { readonly delta: { readonly content?: string } }[];
  readonly error?: ProblemDocument;
}

function readStream(body: string): {
  readonly text: string;
  readonly problem?: ProblemDocument;
  readonly done: boolean;
} {
  const events = body.split('\n\n').filter((event) => event !== '');
  const done = events.at(-1) === 'data: [DONE]';
  const chunks = events
    .filter((event) => event !== 'data: [DONE]')
    .flatMap((event) => event.split('\n').filter((line) => line.startsWith('data: ')))
    .map((line) => JSON.parse(line.slice('data: '.length)) as Chunk);
  const text = chunks.map((chunk) => chunk.choices?.[0]?.delta.content ?? '').join('');
  const problem = chunks.find((chunk) => chunk.error !== undefined)?.error;
  return { text, done, ...(problem === undefined ? {} : { problem }) };
}

export class Caller {
  private sent = 0;

  constructor(private readonly options: CallerOptions) {}

  /** Sends one request after another until stopped. */
  async run(): Promise<void> {
    while (!this.options.isStopped()) {
      this.sent += 1;
      if (this.sent % CALLS_PER_RESERVATION === 0) await this.reserve();
      else await this.complete();
    }
  }

  private async complete(): Promise<void> {
    const { tally, name } = this.options;
    const content = `${name} asks for the ${this.sent}th time about a card lot`;
    const expected = generateText(digestPrompt([{ role: 'user', content }]), 0, ANSWER_TOKENS);
    tally.begun += 1;
    const outcome = await this.sendUntilAnswered('/v1/chat/completions', {
      body: JSON.stringify({
        stream: true,
        max_tokens: ANSWER_TOKENS,
        messages: [{ role: 'user', content }],
      }),
      check: (text) => text === expected,
    });
    this.count(outcome);
  }

  private async reserve(): Promise<void> {
    const { tally, name } = this.options;
    const key = `${name}-${this.sent}`;
    tally.begun += 1;
    const call = {
      key,
      body: JSON.stringify({ offer: key }),
      check: (text: string) => text.includes(key),
    };
    const impatient = this.sent % CALLS_PER_DOUBLE === 0;
    // An impatient caller sends the same call through two entries at once.
    const second = impatient ? this.sendUntilAnswered('/offers', call) : undefined;
    const outcome = await this.sendUntilAnswered('/offers', call);
    await second;
    if (impatient) tally.unsureKeys.add(key);
    this.count(outcome);
    if (outcome.type === 'whole') tally.toldByKey.set(key, 'whole');
    else if (outcome.type === 'cut') tally.toldByKey.set(key, 'unknown');
    else tally.toldByKey.set(key, outcome.problem.ran === 'no' ? 'notRun' : 'unknown');
  }

  private count(outcome: Outcome): void {
    const { tally } = this.options;
    if (outcome.type === 'cut') tally.lost += 1;
    else if (outcome.type === 'problem') tally.refuse(outcome.problem);
    else if (outcome.right) tally.whole += 1;
    else tally.wrongAnswers += 1;
  }

  private async sendUntilAnswered(path: string, call: Call): Promise<Outcome> {
    const { tally, pickEntry } = this.options;
    for (let sends = 1; ; sends += 1) {
      const outcome = await this.send(pickEntry() + path, call);
      const mayResend = outcome.type === 'cut' || this.isPassing(outcome);
      if (!mayResend || sends >= MOST_SENDS) return outcome;
      if (outcome.type === 'cut') {
        tally.resent += 1;
        if (call.key !== undefined) tally.unsureKeys.add(call.key);
      }
      await wait(PAUSE_MILLISECONDS);
    }
  }

  /** Answers after which this caller comes back, as it is told to. */
  private isPassing(outcome: Outcome): boolean {
    if (outcome.type !== 'problem') return false;
    return outcome.problem.kind === 'claimRunning' || outcome.problem.kind === 'draining';
  }

  private async send(url: string, { key, body, check }: Call): Promise<Outcome> {
    let answer: Dispatcher.ResponseData;
    let text: string;
    try {
      answer = await request(url, {
        method: 'POST',
        headers: { authorization, ...(key === undefined ? {} : { 'idempotency-key': key }) },
        body,
        headersTimeout: REQUEST_MILLISECONDS,
        bodyTimeout: REQUEST_MILLISECONDS,
      });
      text = await answer.body.text();
    } catch {
      return { type: 'cut' };
    }
    if (answer.statusCode >= 400) {
      return { type: 'problem', problem: JSON.parse(text) as ProblemDocument };
    }
    if (key !== undefined) return { type: 'whole', right: check(text) };
    const stream = readStream(text);
    if (stream.problem !== undefined) return { type: 'problem', problem: stream.problem };
    return stream.done ? { type: 'whole', right: check(stream.text) } : { type: 'cut' };
  }
}

interface Call {
  /** Set for a call that may not be repeated. */
  readonly key?: string;
  readonly body: string;
  /** True if this is the answer that the request must get. */
  check(text: string): boolean;
}
