/**
 * Callers whose input cannot be parsed. What follows a request on its connection must not change how
 * that request is answered: a refusal written into the connection says of it that it did not run.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { connect, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { RelayBody, type BodyEnd } from '@hornbeampond/adapters';
import { SystemTimerService } from '@hornbeampond/runtime';
import type { CallerBounds, EntrySettings } from '@hornbeampond/schema';
import { digestKey, writeProblem } from '@hornbeampond/transport';
import type { CallerAnswer } from './CallerAnswer.js';
import type { CallerListener } from './CallerListener.js';
import { CallerServer, type CallerExchange } from './CallerServer.js';
import { CallProtocol, type ParsedCall } from './CallProtocol.js';
import { chooseConnectionLimits } from './chooseConnectionLimits.js';
import { CompletionAnswer } from './CompletionAnswer.js';
import { PlainAnswer } from './PlainAnswer.js';
import { RelayAnswer } from './RelayAnswer.js';
import { RelayServer } from './RelayServer.js';

const HOST = '127.0.0.1';
const KEY = 'key-of-the-caller';

const bounds: CallerBounds = {
  headerBytes: 16 * 1024,
  bodyBytes: 64 * 1024,
  headerMilliseconds: 200,
  idleMilliseconds: 10_000,
};

class ExampleProtocol extends CallProtocol {
  override parseCall(message: IncomingMessage): ParsedCall {
    return {
      name: String(message.headers['x-call']),
      requestFields: { prefixDigests: [], promptTokens: 0, maxTokens: 0 },
      forwardedHeaders: [],
    };
  }

  override promisesNotRun(): boolean {
    return false;
  }

  override writeProblem(response: ServerResponse, error: unknown): void {
    writeProblem(response, error);
  }
}

class EmptyBody extends RelayBody {
  override async forEach(
    receive: (chunk: Uint8Array) => Promise<void> | undefined,
  ): Promise<BodyEnd> {
    await receive(Buffer.alloc(0));
    return { shownBy: 'framing' };
  }
}

/** What a server has passed on. */
class Observed {
  readonly exchanges: CallerExchange[] = [];

  readonly left: string[] = [];

  refusals = 0;

  private onChange: () => void = () => {};

  readonly callbacks = {
    timers: new SystemTimerService(),
    limits: chooseConnectionLimits({ memoryMegabytes: 350, descriptors: 4096 }),
    onConnection: () => {},
    onClosing: () => {},
    onMeasured: () => {},
    makeRequestId: () => `made-${this.exchanges.length}`,
    onRequest: (exchange: CallerExchange) => {
      this.exchanges.push(exchange);
      this.onChange();
    },
    onCallerDisconnect: (requestId: string) => {
      this.left.push(requestId);
      this.onChange();
    },
    onRefused: () => {
      this.refusals += 1;
      this.onChange();
    },
  };

  async until(isReached: () => boolean): Promise<void> {
    while (!isReached()) {
      await new Promise<void>((resolve) => {
        this.onChange = resolve;
      });
    }
  }

  answerAt(position: number): CallerAnswer {
    const exchange = this.exchanges[position];
    assert.ok(exchange !== undefined);
    return exchange.answer;
  }
}

async function listen(context: TestContext, server: CallerListener): Promise<number> {
  context.after(async () => server.close(0));
  return server.listen();
}

async function startRelayServer(context: TestContext, observed: Observed): Promise<number> {
  const server = new RelayServer({
    ...observed.callbacks,
    listen: { host: HOST, port: 0 },
    protocol: new ExampleProtocol(),
    readBounds: () => bounds,
    isInProgress: () => false,
  });
  return listen(context, server);
}

async function startCallerServer(context: TestContext, observed: Observed): Promise<number> {
  const settings = {
    listen: { host: HOST, port: 0 },
    workspaces: [{ name: 'laden', keySha256: digestKey(KEY) }],
    limits: { headerBytes: bounds.headerBytes, bodyBytes: 65_536, answerBytes: 65_536 },
  } as unknown as EntrySettings;
  return listen(context, new CallerServer({ ...observed.callbacks, settings }));
}

/** A caller that writes raw bytes and collects what it receives. */
class Caller {
  received = '';

  private readonly socket: Socket;

  private readonly closed: Promise<unknown>;

  constructor(port: number) {
    this.socket = connect(port, HOST);
    this.socket.setEncoding('latin1');
    this.socket.on('error', () => {});
    this.socket.on('data', (text: string) => {
      this.received += text;
    });
    this.closed = once(this.socket, 'close');
  }

  write(text: string): void {
    this.socket.write(text);
  }

  async receive(text: string): Promise<void> {
    while (!this.received.includes(text)) await once(this.socket, 'data');
  }

  leave(): void {
    this.socket.end();
  }

  async readUntilClosed(): Promise<string> {
    await this.closed;
    return this.received;
  }
}

function formatCall(name: string, { path = '/x', body = 'lot' } = {}): string {
  const lines = [
    `POST ${path} HTTP/1.1`,
    'Host: example',
    `X-Call: ${name}`,
    `Authorization: Bearer ${KEY}`,
    `Content-Length: ${body.length}`,
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

function countAnswers(received: string): number {
  return received.split('HTTP/1.1 ').length - 1;
}

const GARBAGE = 'no request\r\n\r\n';

/** Input after which nothing more can be parsed. */
const faults = {
  'bytes that are no request': GARBAGE,
  'a head over the limit': `GET / HTTP/1.1\r\nX: ${'a'.repeat(300 * 1024)}\r\n\r\n`,
  'a head that is not finished in time': 'GET / HTTP/1.1\r\nHos',
};

interface AnswerCase {
  readonly name: string;
  readonly start: (context: TestContext, observed: Observed) => Promise<number>;
  readonly call: string;
  /** Sends the first piece of a stream, and nothing of a plain answer. */
  readonly begin: (answer: CallerAnswer) => Promise<void> | void;
  readonly finish: (answer: CallerAnswer) => Promise<void> | void;
  readonly firstPiece: string;
  readonly ending: RegExp;
  readonly faults: readonly (keyof typeof faults)[];
}

const allFaults = Object.keys(faults) as (keyof typeof faults)[];

/** Node's own limit for heads, which the caller server has, is a minute. */
const quickFaults = allFaults.slice(0, 2);

function relayWhole(answer: CallerAnswer): void {
  assert.ok(answer instanceof RelayAnswer);
  answer.receiveHead({ status: 200, headers: [], isStream: false, body: new EmptyBody() });
  void answer.writeBytes(Buffer.from('bought'));
  answer.finish();
}

const answerCases: readonly AnswerCase[] = [
  {
    name: 'relay server, plain answer',
    start: startRelayServer,
    call: formatCall('one'),
    begin: () => {},
    finish: relayWhole,
    firstPiece: '',
    ending: /connection: close\r\n[^]*bought$/i,
    faults: allFaults,
  },
  {
    name: 'relay server, stream',
    start: startRelayServer,
    call: formatCall('one'),
    begin: (answer) => {
      assert.ok(answer instanceof RelayAnswer);
      const headers = [['content-type', 'text/event-stream']] as const;
      answer.receiveHead({ status: 200, headers, isStream: true, body: new EmptyBody() });
      void answer.writeBytes(Buffer.from('data: 1\n\n'));
    },
    finish: (answer) => {
      assert.ok(answer instanceof RelayAnswer);
      void answer.writeBytes(Buffer.from('data: 2\n\n'));
      answer.finish();
    },
    firstPiece: 'data: 1\n\n',
    ending: /data: 1\n\n[^]*data: 2\n\n\r\n0\r\n\r\n$/,
    faults: allFaults,
  },
  {
    name: 'caller server, plain answer',
    start: startCallerServer,
    call: formatCall('one'),
    begin: () => {},
    finish: async (answer) => {
      assert.ok(answer instanceof PlainAnswer);
      answer.receiveHead({ status: 200, headers: { 'content-length': '6' } });
      await answer.writeBytes(Buffer.from('bought'));
      answer.finish();
    },
    firstPiece: '',
    ending: /connection: close\r\n[^]*bought$/i,
    faults: quickFaults,
  },
  {
    name: 'caller server, stream',
    start: startCallerServer,
    call: formatCall('one', {
      path: '/v1/chat/completions',
      body: '{"stream":true,"messages":[{"role":"user","content":"lot"}]}',
    }),
    begin: async (answer) => {
      assert.ok(answer instanceof CompletionAnswer);
      await answer.writeText('first', 1);
    },
    finish: async (answer) => {
      assert.ok(answer instanceof CompletionAnswer);
      await answer.writeText('second', 1);
      answer.finish();
    },
    firstPiece: '"first"',
    ending: /"first"[^]*"second"[^]*data: \[DONE\]\n\n\r\n0\r\n\r\n$/,
    faults: quickFaults,
  },
];

answerCases.forEach(({ name, start, call, begin, finish, firstPiece, ending, ...answerCase }) => {
  answerCase.faults.forEach((fault) => {
    // Guards against a request in progress that is cancelled, and whose caller reads that it did not run.
    test(`an answer stays whole before ${fault} (${name})`, async (context) => {
      const observed = new Observed();
      const caller = new Caller(await start(context, observed));
      caller.write(call);
      await observed.until(() => observed.exchanges.length === 1);
      await begin(observed.answerAt(0));
      if (firstPiece !== '') await caller.receive(firstPiece);
      caller.write(faults[fault]);
      await observed.until(() => observed.refusals > 0);
      await finish(observed.answerAt(0));
      const received = await caller.readUntilClosed();
      assert.match(received, /^HTTP\/1.1 200 /);
      assert.match(received, ending);
      assert.equal(countAnswers(received), 1);
      assert.deepEqual(observed.left, []);
    });
  });
});

// Guards against a request that is cut off because the answer before it on the connection closes it.
test('all requests before the fault are answered', async (context) => {
  const observed = new Observed();
  const caller = new Caller(await startRelayServer(context, observed));
  caller.write(formatCall('one') + formatCall('two') + GARBAGE);
  await observed.until(() => observed.exchanges.length === 2 && observed.refusals > 0);
  relayWhole(observed.answerAt(1));
  relayWhole(observed.answerAt(0));
  const received = await caller.readUntilClosed();
  assert.equal(countAnswers(received), 2);
  assert.equal(received.split('bought').length, 3);
  assert.deepEqual(observed.left, []);
});

// Guards against a log line and a count for each piece of a flood.
test('a caller that goes on sending is refused once', async (context) => {
  const observed = new Observed();
  const caller = new Caller(await startRelayServer(context, observed));
  caller.write(formatCall('one'));
  await observed.until(() => observed.exchanges.length === 1);
  for (let piece = 0; piece < 20; piece += 1) {
    caller.write(GARBAGE);
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
  relayWhole(observed.answerAt(0));
  assert.match(await caller.readUntilClosed(), /bought$/);
  assert.equal(observed.refusals, 1);
});

// Guards against calls that go on after their callers have left, because nothing is read any more.
test('a caller that leaves after the fault is noticed', async (context) => {
  const observed = new Observed();
  const caller = new Caller(await startRelayServer(context, observed));
  caller.write(formatCall('one') + GARBAGE);
  await observed.until(() => observed.exchanges.length === 1 && observed.refusals > 0);
  caller.leave();
  await observed.until(() => observed.left.length > 0);
  assert.deepEqual(observed.left, ['one']);
  assert.equal(await caller.readUntilClosed(), '');
});

// Guards against a caller that leaves in the middle of a second head and is told that its first did not run.
test('a caller that leaves within a second head is told nothing', async (context) => {
  const observed = new Observed();
  const caller = new Caller(await startRelayServer(context, observed));
  caller.write(`${formatCall('one')}GET / HTTP/1.1\r\nHos`);
  await observed.until(() => observed.exchanges.length === 1);
  caller.leave();
  await observed.until(() => observed.left.length > 0);
  assert.equal(await caller.readUntilClosed(), '');
});

const chunkedCall = formatCall('one', { body: '' }).replace(
  'Content-Length: 0',
  'Transfer-Encoding: chunked',
);

[startRelayServer, startCallerServer].forEach((start) => {
  const refused: Readonly<Record<string, string>> = {
    'that cannot be parsed': GARBAGE,
    'whose body cannot be parsed': `${chunkedCall}no length\r\n\r\n`,
  };
  Object.entries(refused).forEach(([name, input]) => {
    // Guards against callers that wait for an answer to what cannot be answered otherwise.
    test(`a request ${name} is refused (${start.name})`, async (context) => {
      const observed = new Observed();
      const caller = new Caller(await start(context, observed));
      caller.write(input);
      await caller.receive('}');
      caller.leave();
      const received = await caller.readUntilClosed();
      assert.match(received, /^HTTP\/1.1 400 Bad Request\r\n[^]*connection: close\r\n/);
      assert.match(received, /"ran":"no"/);
      assert.equal(countAnswers(received), 1);
      assert.deepEqual(observed.exchanges, []);
    });
  });
});
