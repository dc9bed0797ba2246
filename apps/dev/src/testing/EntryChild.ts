/**
 * An entry in a process of its own. In one thread with others, each would be short of processor time, and
 * learn of a lost path later than an entry on a machine of its own.
 */
import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import type { EntryPorts } from '@hornbeampond/entry-app';
import type { CutKind } from '@hornbeampond/testing';

const PROGRAM = fileURLToPath(new URL('./entryChildMain.js', import.meta.url));

export class EntryChild {
  private constructor(
    private readonly child: ChildProcess,
    readonly ports: EntryPorts,
  ) {}

  /** @param settings - As a settings file of an entry has them. */
  static async start(settings: object): Promise<EntryChild> {
    const child = fork(PROGRAM, [JSON.stringify(settings)]);
    const ended = once(child, 'exit').then(([code]) => {
      throw new Error(`the entry ended with ${String(code)} before it was ready`);
    });
    const [ports] = (await Promise.race([once(child, 'message'), ended])) as [EntryPorts];
    ended.catch(() => {});
    // An entry that is left over when another one fails to start must not keep the test from ending.
    child.unref();
    child.channel?.unref();
    return new EntryChild(child, ports);
  }

  async setCut(kind: CutKind): Promise<void> {
    this.child.send(kind);
    await once(this.child, 'message');
  }

  /** Ends the entry as its machine would by losing power. */
  async close(): Promise<void> {
    const ended = once(this.child, 'exit');
    this.child.kill('SIGKILL');
    await ended;
  }
}
