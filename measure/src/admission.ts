/**
 * Measures admission and choice: the share of callers on time and the prompt tokens computed
 * again, against plain baselines in one run; what a request costs as the number of backend
 * servers grows; and what finding a route costs.
 */
import { comparePolicies, type PolicyFigures } from './admission/comparePolicies.js';
import {
  fitSlope,
  measureRoutes,
  measureServers,
  type CostFigures,
  type RouteFigures,
} from './admission/measureCost.js';

const SERVER_COUNTS = [10, 100, 1000, 12_000];
const ROUTE_COUNTS = [10, 1000, 10_000];

export type AdmissionRow =
  | ({ readonly type: 'policy' } & PolicyFigures)
  | ({ readonly type: 'cost' } & CostFigures)
  | ({ readonly type: 'route' } & RouteFigures)
  /** Fitted over all counts of backend servers. */
  | { readonly type: 'slope'; readonly arrivalMicrosecondsPerThousandServers: number };

export async function measureAdmission(): Promise<AdmissionRow[]> {
  const costs = SERVER_COUNTS.map(measureServers);
  const points = costs.map(
    ({ servers, arrivalMicroseconds }) => [servers, arrivalMicroseconds] as const,
  );
  return [
    ...comparePolicies().map((figures) => ({ type: 'policy' as const, ...figures })),
    ...costs.map((figures) => ({ type: 'cost' as const, ...figures })),
    { type: 'slope', arrivalMicrosecondsPerThousandServers: fitSlope(points) * 1000 },
    ...ROUTE_COUNTS.map((count) => ({ type: 'route' as const, ...measureRoutes(count) })),
  ];
}
