/**
 * A server that answers calls twice: once a call has arrived on a connection that has carried another one,
 * it first sends the answer to the earlier call again.
 */
import { once } from 'node:events';
import { createServer, STATUS_CODES, type IncomingMessage } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

const HOST = '127.0.0.1';

export interface ScriptedAnswer {
  readonly status?: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly text?: string;
}

/** Answers a call, which is the `number`th one from 0. */
export type AnswerScript = (request: IncomingMessage, number: number) => ScriptedAnswer;

function formatAnswer({ status = 200, headers = {}, text = '' }: ScriptedAnswer): string {
  const lines = Object.entries({ ...headers, 'content-length': String(Buffer.byteLength(text)) });
  const head = lines.map(([name, value]) => `${name}: ${value}\r\n`).join('');
  return `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\n${head}\r\n${text}`;
}

export class RepeatingServer {
  /** False while it answers each call once. */
  repeats = true;

  /** Calls that it has received. */
  calls = 0;

  /** Connections that it has accepted. */
  connections = 0;

  /** Sent before the answer to the next call, if that arrives on a connection that has carried another one. */
  restOfAnswer = '';

  private readonly sockets = new Set<Socket>();

  private readonly lastAnswers = new WeakMap<Socket, string>();

  private readonly server = createServer((request) => {
    request.resume();
    request.on('end', () => this.answer(request));
  });

  private constructor(private readonly script: AnswerScript) {
    this.server.on('connection', (socket) => {
      this.connections += 1;
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  static async start(script: AnswerScript): Promise<RepeatingServer> {
    const started = new RepeatingServer(script);
    started.server.listen(0, HOST);
    await once(started.server, 'listening');
    return started;
  }

  get address(): { readonly host: string; readonly port: number } {
    return { host: HOST, port: (this.server.address() as AddressInfo).port };
  }

  get url(): string {
    return `http://${HOST}:${this.address.port}`;
  }

  async close(): Promise<void> {
    const closed = once(this.server, 'close');
    this.server.close();
    this.server.closeAllConnections();
    await closed;
  }

  /** Sends bytes on all connections, which belong to no call if none waits. */
  write(bytes: string): void {
    this.sockets.forEach((socket) => socket.write(bytes));
  }

  private answer(request: IncomingMessage): void {
    const { socket } = request;
    const lastAnswer = this.lastAnswers.get(socket);
    const answer = formatAnswer(this.script(request, this.calls));
    this.calls += 1;
    this.lastAnswers.set(socket, answer);
    if (lastAnswer !== undefined) socket.write(this.restOfAnswer);
    socket.write(this.repeats && lastAnswer !== undefined ? lastAnswer + answer : answer);
  }
}
