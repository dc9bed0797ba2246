/**
 * Handles input of callers that Node cannot parse as a request: bytes that are none, a head over the
 * limit, and one that is not finished in time. Such a request has no response object, so its refusal is
 * written into the connection. While an answer is open there, its caller would read the refusal as the
 * answer: nothing is written then, and the connection is closed after the answer.
 */
import { STATUS_CODES, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { HornbeampondError, toProblemDocument } from '@hornbeampond/schema';

/**
 * Input that is discarded before a connection is no longer read. It is read up to then so that callers
 * which leave are noticed.
 */
const MAX_DISCARDED_BYTES = 1024 * 1024;

function formatRefusal(error: HornbeampondError): string {
  const problem = toProblemDocument(error);
  const body = JSON.stringify(problem);
  const lines = [
    `HTTP/1.1 ${problem.status} ${STATUS_CODES[problem.status] ?? ''}`,
    'content-type: application/problem+json',
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

/** Takes the input away from Node's parser, which would report an error for each piece of it. */
function discardInput(socket: Socket): void {
  let discardedBytes = 0;
  socket.removeAllListeners('data');
  socket.on('data', ({ length }: Buffer) => {
    discardedBytes += length;
    if (discardedBytes > MAX_DISCARDED_BYTES) socket.pause();
  });
  // Node closes a connection that its caller has closed, but not after an error of its parser.
  socket.on('end', () => socket.end());
}

/** False while the body is read: an error is then one of the request itself. */
function isOpenAnswer({ req, headersSent }: ServerResponse): boolean {
  return req.complete || headersSent;
}

function closeAfter(answer: ServerResponse, socket: Socket): void {
  if (!answer.headersSent) answer.setHeader('connection', 'close');
  answer.once('finish', () => socket.destroySoon());
}

class UnparsedInput {
  /** The responses that are not closed, in the order of their requests. */
  private readonly responses = new WeakMap<Socket, Set<ServerResponse>>();

  private readonly failedSockets = new WeakSet<Socket>();

  constructor(private readonly onRefused: (error: HornbeampondError) => void) {}

  track(response: ServerResponse): void {
    const { socket } = response.req;
    const open = this.responses.get(socket) ?? new Set();
    this.responses.set(socket, open.add(response));
    response.once('close', () => open.delete(response));
  }

  refuse({ code }: NodeJS.ErrnoException, socket: Socket): void {
    if (this.failedSockets.has(socket)) return;
    this.failedSockets.add(socket);
    const kind = code === 'HPE_HEADER_OVERFLOW' ? 'headersTooLarge' : 'badRequest';
    const problem = new HornbeampondError(kind, 'The request could not be read');
    this.onRefused(problem);
    if (!socket.writable) return;
    discardInput(socket);
    const lastAnswer = this.findLastAnswer(socket);
    if (lastAnswer === undefined) socket.end(formatRefusal(problem));
    // The caller has left within a head.
    else if (socket.readableEnded) socket.end();
    else closeAfter(lastAnswer, socket);
  }

  private findLastAnswer(socket: Socket): ServerResponse | undefined {
    return [...(this.responses.get(socket) ?? [])].filter(isOpenAnswer).at(-1);
  }
}

/** @param onRefused - Called once for each connection whose input cannot be parsed. */
export function refuseUnparsedInput(
  server: Server,
  onRefused: (error: HornbeampondError) => void,
): void {
  const unparsedInput = new UnparsedInput(onRefused);
  server.on('request', (_request, response: ServerResponse) => unparsedInput.track(response));
  server.on('clientError', (error: NodeJS.ErrnoException, socket) =>
    unparsedInput.refuse(error, socket as Socket),
  );
}
