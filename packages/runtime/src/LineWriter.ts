/**
 * Writes log lines without ever holding the process up. Lines are handed to the system in
 * batches; while the reader is slow they wait up to a bound, and past it, or above a rate that a
 * disk and a reader can follow, they are dropped and counted. The count is written as soon as lines
 * pass again: a log that silently lacks lines would be read as nothing having happened.
 */
import { write } from 'node:fs';

/** Lines a second that are written; a busy entry writes a few hundred. */
const MOST_LINES_PER_SECOND = 2000;

/** Bytes that may wait for a slow reader. */
const MOST_WAITING_BYTES = 1024 * 1024;

const SECOND_MILLISECONDS = 1000;

/** Hands text on and calls back when it has been taken. */
export type WriteText = (text: string, onTaken: (error: Error | null) => void) => void;

/** Writes to a file descriptor, such as 1 for standard output. */
export function writeToDescriptor(descriptor: number): WriteText {
  return (text, onTaken) => {
    write(descriptor, text, (error) => onTaken(error));
  };
}

export class LineWriter {
  private waiting: string[] = [];

  private waitingBytes = 0;

  private isWriting = false;

  private readonly onTaken: (() => void)[] = [];

  private dropped = 0;

  private second = Number.NaN;

  private linesInSecond = 0;

  constructor(
    private readonly writeText: WriteText,
    private readonly now: () => number = () => performance.now(),
    /** Makes the line that tells how many were dropped. */
    private readonly describeDropped: (count: number) => string = (count) =>
      JSON.stringify({ event: 'linesDropped', count }),
  ) {}

  /** Writes one line, or drops it. */
  readonly write = (line: string): void => {
    if (!this.mayWrite(line)) {
      this.dropped += 1;
      return;
    }
    if (this.dropped > 0) {
      const { dropped } = this;
      this.dropped = 0;
      this.enqueue(this.describeDropped(dropped));
    }
    this.enqueue(line);
    this.flush();
  };

  /** Resolves once everything has been taken; for the end of a process. */
  async waitUntilIdle(): Promise<void> {
    if (!this.isWriting) return;
    await new Promise<void>((resolve) => {
      this.onTaken.push(resolve);
    });
  }

  private mayWrite(line: string): boolean {
    const second = Math.floor(this.now() / SECOND_MILLISECONDS);
    if (second !== this.second) {
      this.second = second;
      this.linesInSecond = 0;
    }
    this.linesInSecond += 1;
    const fits = this.waitingBytes + line.length <= MOST_WAITING_BYTES;
    return fits && this.linesInSecond <= MOST_LINES_PER_SECOND;
  }

  private enqueue(line: string): void {
    this.waiting.push(line);
    this.waitingBytes += line.length + 1;
  }

  private flush(): void {
    if (this.isWriting || this.waiting.length === 0) return;
    const text = `${this.waiting.join('\n')}\n`;
    const bytes = this.waitingBytes;
    this.waiting = [];
    this.isWriting = true;
    this.writeText(text, (error) => {
      this.isWriting = false;
      this.waitingBytes -= bytes;
      // A closed or full output is nothing to end for; what it did not take is counted as dropped.
      if (error !== null) this.dropped += text.split('\n').length - 1;
      else this.flush();
      if (!this.isWriting) this.onTaken.splice(0).forEach((resolve) => resolve());
    });
  }
}
