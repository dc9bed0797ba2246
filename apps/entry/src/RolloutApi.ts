/**
 * Serves the roll-outs of services on the operators' port: `GET`, `PUT` and `DELETE` on
 * `/rollouts/SERVICE` describe, start and take back the roll-out of a pool.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  findRollout,
  HornbeampondError,
  makeStartRolloutCommand,
  type AdvanceRolloutCommand,
  type EntrySettings,
  type Rollout,
  type RolloutResult,
  type StartRolloutCommand,
} from '@hornbeampond/schema';
import {
  authorizeOperator,
  makeUnconfirmedChangeError,
  readBody,
  writeJson,
  type StoreClient,
} from '@hornbeampond/transport';

const CHANGE_TIMEOUT_MILLISECONDS = 5000;
const READ_TIMEOUT_MILLISECONDS = 3000;
const MAX_ORDER_BYTES = 16 * 1024;
const MILLISECONDS_PER_SECOND = 1000;

function readOrder(pool: string, body: Buffer): StartRolloutCommand {
  let value: unknown;
  try {
    value = JSON.parse(body.toString('utf8'));
  } catch (error) {
    throw new HornbeampondError('badRequest', 'The body is not JSON', {}, error);
  }
  if (
    typeof value === 'object' &&
    value !== null &&
    'version' in value &&
    'withinSeconds' in value
  ) {
    const { version, withinSeconds } = value;
    if (typeof version === 'string' && typeof withinSeconds === 'number') {
      const duration = withinSeconds * MILLISECONDS_PER_SECOND;
      return makeStartRolloutCommand({ pool, version, duration });
    }
  }
  const detail = 'The body must be an object with "version" and "withinSeconds"';
  throw new HornbeampondError('rolloutInvalid', detail);
}

export class RolloutApi {
  constructor(
    private readonly settings: EntrySettings,
    private readonly store: StoreClient,
  ) {}

  /** Handles requests to `/rollouts/…`; returns false for other paths. */
  async handle(request: IncomingMessage, response: ServerResponse, url: URL): Promise<boolean> {
    const [, folder, name] = url.pathname.split('/');
    if (folder !== 'rollouts' || name === undefined) return false;
    const pool = decodeURIComponent(name);
    authorizeOperator(request, this.settings.operatorKeys);
    writeJson(response, 200, await this.run(pool, request));
    return true;
  }

  private async run(pool: string, request: IncomingMessage): Promise<Rollout> {
    switch (request.method) {
      case 'GET':
        return this.read(pool);
      case 'PUT':
        return this.propose(readOrder(pool, await readBody(request, MAX_ORDER_BYTES)));
      case 'DELETE':
        return this.takeBack(await this.read(pool));
      default:
        throw new HornbeampondError('methodNotAllowed', 'Use GET, PUT or DELETE');
    }
  }

  private async read(pool: string): Promise<Rollout> {
    const { rollouts } = await this.store.readConfiguration(READ_TIMEOUT_MILLISECONDS);
    const rollout = findRollout(rollouts, pool);
    if (rollout !== undefined) return rollout;
    throw new HornbeampondError('routeNotFound', `There is no roll-out of "${pool}"`);
  }

  private async takeBack({ pool, startedAt }: Rollout): Promise<Rollout> {
    const rollout = await this.propose({
      type: 'advanceRollout',
      pool,
      startedAt,
      phase: 'rolledBack',
      share: 0,
      reason: 'an operator took it back',
    });
    if (rollout.phase === 'rolledBack') return rollout;
    const detail = `Version "${rollout.version}" is in force already; start a roll-out of the other one`;
    throw new HornbeampondError('rolloutInvalid', detail);
  }

  private async propose(command: StartRolloutCommand | AdvanceRolloutCommand): Promise<Rollout> {
    const outcome = await this.store.propose(command, CHANGE_TIMEOUT_MILLISECONDS);
    if (outcome.type !== 'result') {
      throw makeUnconfirmedChangeError(outcome.type, 'The change of the roll-out');
    }
    const result = outcome.result as RolloutResult;
    if (result.type === 'rolloutAccepted') return result.rollout;
    if (result.type === 'rolloutInvalid') {
      throw new HornbeampondError('rolloutInvalid', `The roll-out is refused: ${result.reason}`);
    }
    const detail = `Version "${result.rollout.version}" of the pool is being rolled out`;
    throw new HornbeampondError('rolloutRunning', detail);
  }
}
