/**
 * Passes the input of a connection to Node's HTTP parser piece by piece, and only while the connection may
 * begin further requests. Node itself parses all that it has read at once, some thousand small requests,
 * before it looks at how many of them wait for their answers.
 */
import type { Socket } from 'node:net';

type Parse = (this: Socket, input: Buffer) => void;

/** Holds a few dozen of the smallest requests. */
const PIECE_BYTES = 2 * 1024;

export interface InputGateOptions {
  readonly socket: Socket;
  /** False while no further request may begin. */
  canParse(): boolean;
  /** Called with each piece before it is parsed; it is dropped, with all that follows, if false. */
  accept(piece: Buffer): boolean;
  /** Called after each piece. */
  onParsed(piece: Buffer): void;
}

/** True while answers wait that Node counts as too many bytes; its parser fails on input then. */
function isPausedByNode(socket: Socket): boolean {
  return (socket as Socket & { readonly _paused?: boolean })._paused === true;
}

export class InputGate {
  private readonly parse: Parse | undefined;

  /** Read from the connection and not parsed yet, in order. */
  private waiting: Buffer[] = [];

  /** True while this class, not Node, has paused the connection. */
  private hasPaused = false;

  private isParsing = false;

  private isEnded = false;

  private isScheduled = false;

  /** Takes the place of Node's listener; call it once Node has set the connection up. */
  constructor(private readonly options: InputGateOptions) {
    const { socket } = options;
    const [parse] = socket.listeners('data') as Parse[];
    this.parse = parse;
    if (parse === undefined) return;
    socket.removeListener('data', parse);
    socket.on('data', (input: Buffer) => {
      if (this.isEnded) return;
      this.waiting.push(input);
      this.parseWaiting();
    });
    // Node resumes a connection when answers have been sent, or a body is wanted.
    socket.on('resume', () => this.parseWaiting());
  }

  /** Bytes that are read and not parsed yet. */
  get waitingBytes(): number {
    return this.waiting.length === 0
      ? 0
      : this.waiting.reduce((sum, { length }) => sum + length, 0);
  }

  /**
   * Goes on where `canParse` was false. Not at once: a caller that sends many requests ahead would
   * otherwise keep the process from all others until they are served.
   */
  continue(): void {
    if (!this.hasPaused || this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => {
      this.isScheduled = false;
      if (!this.hasPaused || !this.options.canParse()) return;
      this.hasPaused = false;
      // Node resumes what it has paused itself, once answers are sent.
      if (!isPausedByNode(this.options.socket)) this.options.socket.resume();
    });
  }

  /** Parses nothing any more, and forgets what waits. */
  end(): void {
    this.isEnded = true;
    this.waiting = [];
  }

  private parseWaiting(): void {
    const { socket, canParse } = this.options;
    if (this.isEnded || this.isParsing) return;
    this.isParsing = true;
    // Node must not get input while it has paused the connection.
    while (this.waiting.length > 0 && !this.isHeld && canParse()) {
      this.parsePiece(this.takePiece());
    }
    this.isParsing = false;
    if (canParse() || this.isEnded) return;
    this.hasPaused = true;
    socket.pause();
  }

  private get isHeld(): boolean {
    const { socket } = this.options;
    return socket.isPaused() || isPausedByNode(socket) || socket.destroyed;
  }

  private parsePiece(piece: Buffer): void {
    const { socket, accept, onParsed } = this.options;
    if (!accept(piece)) return;
    this.parse?.call(socket, piece);
    onParsed(piece);
  }

  private takePiece(): Buffer {
    const [first = Buffer.alloc(0)] = this.waiting;
    if (first.length <= PIECE_BYTES) this.waiting.shift();
    else this.waiting[0] = first.subarray(PIECE_BYTES);
    return first.subarray(0, PIECE_BYTES);
  }
}
