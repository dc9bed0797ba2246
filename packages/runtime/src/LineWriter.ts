/**
 * Writes log lines in batches without blocking the process. Lines are buffered while the output is
 * slow, and dropped when the buffer is full or too many lines are written in one second. The number
 * of dropped lines is written before the next line that is accepted, so that the loss is visible.
 */
import { write } from 'node:fs';

/** A busy process writes a few hundred lines per second. */
const MAX_LINES_PER_SECOND = 2000;

const MAX_BUFFERED_CHARACTERS = 1024 * 1024;

const MILLISECONDS_PER_SECOND = 1000;

/** Writes text and calls back when it was written or has failed. */
export type WriteText = (text: string, onWritten: (error: Error | null) => void) => void;

/**
 * Each write is a task of another thread and wakes the process at its end, which costs more than the
 * lines themselves; so the lines of this time after a write are written together.
 */
const WRITE_PAUSE_MILLISECONDS = 100;

/**
 * Returns a writer to a file descriptor, such as 1 for standard output. It calls back some time after
 * the write.
 */
export function writeToDescriptor(descriptor: number): WriteText {
  return (text, onWritten) => {
    write(descriptor, text, (error) => {
      setTimeout(() => onWritten(error), WRITE_PAUSE_MILLISECONDS);
    });
  };
}

export class LineWriter {
  private bufferedLines: string[] = [];

  private bufferedCharacters = 0;

  private isWriting = false;

  private readonly idleListeners: (() => void)[] = [];

  private droppedLines = 0;

  private currentSecond = Number.NaN;

  private linesInSecond = 0;

  constructor(
    private readonly writeText: WriteText,
    private readonly now: () => number = () => performance.now(),
    /** Makes the line that reports the number of dropped lines. */
    private readonly formatDroppedLine: (count: number) => string = (count) =>
      JSON.stringify({ event: 'linesDropped', count }),
  ) {}

  /** Writes one line, or drops it. */
  readonly write = (line: string): void => {
    if (!this.canAccept(line)) {
      this.droppedLines += 1;
      return;
    }
    if (this.droppedLines > 0) {
      const { droppedLines } = this;
      this.droppedLines = 0;
      this.enqueue(this.formatDroppedLine(droppedLines));
    }
    this.enqueue(line);
    this.flush();
  };

  /** Resolves once no write is in progress; for the end of a process. */
  async waitUntilIdle(): Promise<void> {
    if (!this.isWriting) return;
    await new Promise<void>((resolve) => {
      this.idleListeners.push(resolve);
    });
  }

  private canAccept(line: string): boolean {
    const second = Math.floor(this.now() / MILLISECONDS_PER_SECOND);
    if (second !== this.currentSecond) {
      this.currentSecond = second;
      this.linesInSecond = 0;
    }
    this.linesInSecond += 1;
    const fits = this.bufferedCharacters + line.length <= MAX_BUFFERED_CHARACTERS;
    return fits && this.linesInSecond <= MAX_LINES_PER_SECOND;
  }

  private enqueue(line: string): void {
    this.bufferedLines.push(line);
    this.bufferedCharacters += line.length + 1;
  }

  private flush(): void {
    if (this.isWriting || this.bufferedLines.length === 0) return;
    const text = `${this.bufferedLines.join('\n')}\n`;
    const characters = this.bufferedCharacters;
    this.bufferedLines = [];
    this.isWriting = true;
    this.writeText(text, (error) => {
      this.isWriting = false;
      this.bufferedCharacters -= characters;
      // An output error must not end the process; the lines of the batch are counted as dropped.
      if (error !== null) this.droppedLines += text.split('\n').length - 1;
      else this.flush();
      if (!this.isWriting) this.idleListeners.splice(0).forEach((resolve) => resolve());
    });
  }
}
