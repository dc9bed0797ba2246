/**
 * Passes the input of a connection to Node's HTTP parser piece by piece, and only while the connection may
 * begin further requests. Node itself parses all that it has read at once, some thousand small requests,
 * before it looks at how many of them wait for their answers. Once the time of a turn of the event loop is
 * spent, each connection gets a piece parsed in its turn.
 */
import type { Socket } from 'node:net';
import type { InputTurns, TurnTaker } from './InputTurns.js';

type Parse = (this: Socket, input: Buffer) => void;

/** Holds a few dozen of the smallest requests. */
const PIECE_BYTES = 2 * 1024;

export interface InputGateOptions {
  readonly socket: Socket;
  readonly turns: InputTurns;
  /** False while no further request may begin. */
  canParse(): boolean;
  /** True while no more of a body is wanted; Node resumes the connection then. */
  isBodyFull(): boolean;
  /** Called with each piece before it is parsed; it is dropped, with all that follows, if false. */
  accept(piece: Buffer): boolean;
  /** Called after each piece. */
  onParsed(piece: Buffer): void;
  /** Called when input has to wait for its turn. */
  onWaiting(): void;
}

/** True while answers wait that Node counts as too many bytes; its parser fails on input then. */
function isPausedByNode(socket: Socket): boolean {
  return (socket as Socket & { readonly _paused?: boolean })._paused === true;
}

export class InputGate implements TurnTaker {
  /** True while input waits for its turn. */
  isAwaitingTurn = false;

  private readonly parse: Parse | undefined;

  private readonly finish: (() => void) | undefined;

  /** Read from the connection and not parsed yet, in order. */
  private waiting: Buffer[] = [];

  /** True while this class, not Node, has paused the connection. */
  private hasPaused = false;

  private isParsing = false;

  private isEnded = false;

  private isScheduled = false;

  /** True once the caller has ended its side and Node has not been told. */
  private isFinishing = false;

  /** Takes the place of Node's listeners; call it once Node has set the connection up. */
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
    this.finish = this.deferEnd();
  }

  /** Bytes that are read and not parsed yet. */
  get waitingBytes(): number {
    const { readableLength } = this.options.socket;
    return this.waiting.reduce((sum, { length }) => sum + length, readableLength);
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
    this.isAwaitingTurn = false;
    this.isFinishing = false;
    this.options.turns.leave(this);
  }

  takeTurn(): void {
    this.isAwaitingTurn = false;
    if (this.canGoOn) this.parsePiece(this.takePiece());
    if (this.isEnded) return;
    if (!this.options.canParse()) this.pause();
    else if (this.waiting.length === 0) this.resume();
    else if (this.canGoOn) this.awaitTurn();
  }

  /** Keeps the end of the input from Node while pieces wait: it takes the request for a broken one. */
  private deferEnd(): (() => void) | undefined {
    const { socket } = this.options;
    // Node's listener for HTTP comes after that of the socket itself.
    const finish = (socket.listeners('end') as (() => void)[]).at(-1);
    if (finish === undefined) return undefined;
    socket.removeListener('end', finish);
    socket.once('end', () => {
      this.isFinishing = true;
      if (this.waiting.length === 0) this.finishInput();
    });
    return finish;
  }

  private finishInput(): void {
    if (!this.isFinishing) return;
    this.isFinishing = false;
    this.finish?.call(this.options.socket);
  }

  private parseWaiting(): void {
    const { socket, turns, canParse } = this.options;
    if (this.isEnded || this.isParsing) return;
    if (this.isAwaitingTurn) {
      // A reader of the body has resumed it.
      socket.pause();
      return;
    }
    while (this.waiting.length > 0 && !this.isHeld && canParse() && turns.hasTime) {
      this.parsePiece(this.takePiece());
    }
    if (this.isEnded) return;
    if (!canParse()) this.pause();
    else if (this.waiting.length === 0) this.finishInput();
    else if (!this.isHeld) this.awaitTurn();
  }

  private awaitTurn(): void {
    const { socket, turns, onWaiting } = this.options;
    this.isAwaitingTurn = true;
    socket.pause();
    turns.await(this);
    onWaiting();
  }

  private pause(): void {
    this.hasPaused = true;
    this.options.socket.pause();
  }

  private resume(): void {
    this.finishInput();
    if (!this.isHeldByNode) this.options.socket.resume();
  }

  /** True if input that has waited for its turn may be parsed, though this class has paused the connection. */
  private get canGoOn(): boolean {
    const { canParse, isBodyFull } = this.options;
    // Node does not resume a connection that its caller has ended.
    const isWanted = this.isFinishing || !isBodyFull();
    return !this.isEnded && this.waiting.length > 0 && canParse() && !this.isHeldByNode && isWanted;
  }

  /** Node must not get input while it has paused the connection. */
  private get isHeld(): boolean {
    const isPaused = this.options.socket.isPaused() && !this.isFinishing;
    return isPaused || this.isHeldByNode;
  }

  private get isHeldByNode(): boolean {
    const { socket } = this.options;
    return isPausedByNode(socket) || socket.destroyed;
  }

  private parsePiece(piece: Buffer): void {
    const { socket, turns, accept, onParsed } = this.options;
    if (!accept(piece)) return;
    this.isParsing = true;
    turns.measure(() => this.parse?.call(socket, piece));
    this.isParsing = false;
    onParsed(piece);
  }

  private takePiece(): Buffer {
    const [first = Buffer.alloc(0)] = this.waiting;
    if (first.length <= PIECE_BYTES) this.waiting.shift();
    else this.waiting[0] = first.subarray(PIECE_BYTES);
    return first.subarray(0, PIECE_BYTES);
  }
}
