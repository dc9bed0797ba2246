/** Handles operators' HTTP requests that make a store found or join a cluster or remove a member. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { HornbeampondError, type OperatorKey, type StoreResponse } from '@hornbeampond/schema';
import {
  authorizeOperator,
  makeUnconfirmedChangeError,
  readBody,
  writeJson,
  type UnconfirmedOutcome,
} from '@hornbeampond/transport';
import type { FoundingOutcome } from './Founding.js';

const MAX_BODY_BYTES = 4096;

export interface OperatorRequestHandlerOptions {
  readonly operatorKeys: readonly OperatorKey[];
  foundCluster(): Promise<FoundingOutcome>;
  requestJoin(): void;
  removeStore(instance: string): Promise<StoreResponse>;
}

function parseInstance(body: Buffer): string {
  const value: unknown = JSON.parse(body.toString('utf8'));
  if (typeof value === 'object' && value !== null && 'instance' in value) {
    if (typeof value.instance === 'string') return value.instance;
  }
  throw new HornbeampondError('badRequest', 'The body must name the "instance"');
}

function checkFounding(outcome: FoundingOutcome): void {
  if (outcome === 'founded') return;
  if (outcome === 'givenUp') {
    const detail = 'This store or another one of its settings has been part of a cluster already';
    throw new HornbeampondError('badRequest', detail);
  }
  const known = outcome === 'stopped' ? 'unavailable' : 'unsure';
  throw makeUnconfirmedChangeError(known, 'The founding of the cluster');
}

/** Only these two responses say that nothing was done. */
function classifyOutcome(type: StoreResponse['type']): UnconfirmedOutcome {
  return type === 'unavailable' || type === 'notLeader' ? 'unavailable' : 'unsure';
}

export class OperatorRequestHandler {
  constructor(private readonly options: OperatorRequestHandlerOptions) {}

  async handle(request: IncomingMessage, response: ServerResponse, url: URL): Promise<boolean> {
    const [, folder, operation] = url.pathname.split('/');
    if (folder !== 'store') return false;
    if (request.method !== 'POST') throw new HornbeampondError('methodNotAllowed', 'Use POST');
    authorizeOperator(request, this.options.operatorKeys);
    const body = await readBody(request, MAX_BODY_BYTES);
    switch (operation) {
      case 'found':
        checkFounding(await this.options.foundCluster());
        break;
      case 'join':
        this.options.requestJoin();
        break;
      case 'remove': {
        const { type } = await this.options.removeStore(parseInstance(body));
        if (type !== 'accepted') {
          throw makeUnconfirmedChangeError(classifyOutcome(type), 'The removal of the store');
        }
        break;
      }
      default:
        throw new HornbeampondError('routeNotFound', 'There is no such operation on stores');
    }
    writeJson(response, 200, {});
    return true;
  }
}
