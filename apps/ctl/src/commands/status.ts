/** The commands that show the status of the system. */
import { exitCodes } from '@hornbeampond/runtime';
import { Command, UsageError, type CommandContext } from '../Command.js';
import { describeStatus } from './describeStatus.js';

const DEFAULT_WATCH_SECONDS = 2;

export class StatusCommand extends Command {
  override readonly name = 'status';

  override readonly usage = '';

  override readonly purpose = 'shows a summary of the state of the system';

  override readonly example = 'hornbeampondctl status --json';

  override async run({ client, json, paint, print }: CommandContext): Promise<number> {
    const status = await client.getStatus();
    if (json) print(JSON.stringify(status));
    else describeStatus(status, paint).forEach(print);
    return exitCodes.done;
  }
}

export class WatchCommand extends Command {
  override readonly name = 'watch';

  override readonly usage = '';

  override readonly purpose = 'shows the status repeatedly until interrupted';

  override readonly example = 'hornbeampondctl watch --seconds 5';

  override readonly options = {
    seconds: { type: 'string', purpose: `pause between two outputs (${DEFAULT_WATCH_SECONDS})` },
    times: { type: 'string', purpose: 'number of outputs; unlimited by default' },
  } as const;

  override async run(context: CommandContext): Promise<number> {
    const { client, options, json, timers, paint, print } = context;
    const seconds = Number(options.seconds ?? DEFAULT_WATCH_SECONDS);
    const times = Number(options.times ?? Number.POSITIVE_INFINITY);
    if (!(seconds > 0) || !(times > 0)) {
      throw new UsageError(['--seconds and --times take numbers above 0']);
    }
    for (let printedCount = 0; printedCount < times; printedCount += 1) {
      const status = await client.getStatus();
      if (json) print(JSON.stringify(status));
      else {
        const time = new Date(timers.wallNow()).toISOString();
        [`-- ${time}`, ...describeStatus(status, paint)].forEach(print);
      }
      if (printedCount + 1 < times) {
        await timers.wait(seconds * 1000);
      }
    }
    return exitCodes.done;
  }
}

export const statusCommands: readonly Command[] = [new StatusCommand(), new WatchCommand()];
