/** The commands that found the cluster of stores, add and remove stores, and show their status. */
import { exitCodes } from '@hornbeampond/runtime';
import { Command, UsageError, type CommandContext } from '../Command.js';
import { describeStores } from './describeStores.js';

export class StoreFoundCommand extends Command {
  override readonly name = 'store found';

  override readonly usage = '';

  override readonly purpose =
    'founds a new cluster on an empty store; --entry names that store’s operators’ port';

  override readonly example = 'hornbeampondctl store found --entry http://127.0.0.1:9100';

  override async run({ client, print }: CommandContext): Promise<number> {
    await client.post('/store/found', {});
    print('the cluster is founded; the other stores join by themselves');
    return exitCodes.done;
  }
}

export class StoreRemoveCommand extends Command {
  override readonly name = 'store remove';

  override readonly usage = 'INSTANCE';

  override readonly purpose =
    'removes a store from the voters permanently; --entry names the leader’s operators’ port';

  override readonly example = 'hornbeampondctl store remove store-eisenstadt-1';

  override async run({ client, positionals, print }: CommandContext): Promise<number> {
    const [instance] = positionals;
    if (instance === undefined) throw new UsageError(['name the instance to remove']);
    await client.post('/store/remove', { instance });
    print(`${instance} is no longer a voter`);
    return exitCodes.done;
  }
}

export class StoreAddCommand extends Command {
  override readonly name = 'store add';

  override readonly usage = '';

  override readonly purpose =
    'lets an empty store join; --entry names that store’s operators’ port';

  override readonly example = 'hornbeampondctl store add --entry http://127.0.0.1:9101';

  override async run({ client, print }: CommandContext): Promise<number> {
    await client.post('/store/join', {});
    print('the store has asked to join; "store status" shows when it is a voter');
    return exitCodes.done;
  }
}

export class StoreStatusCommand extends Command {
  override readonly name = 'store status';

  override readonly usage = '';

  override readonly purpose = 'shows the stores, their log and their voters';

  override readonly example = 'hornbeampondctl store status';

  override async run({ client, json, paint, print }: CommandContext): Promise<number> {
    const status = await client.getStatus();
    if (json) print(JSON.stringify(status.stores));
    else describeStores(status.stores, paint).forEach(print);
    return exitCodes.done;
  }
}

export const storeCommands: readonly Command[] = [
  new StoreFoundCommand(),
  new StoreAddCommand(),
  new StoreRemoveCommand(),
  new StoreStatusCommand(),
];
