/**
 * The routes table. A route maps matching requests to a pool and sets their priority, limits and
 * deadlines, which may depend on the time of day.
 */
import * as z from 'zod';

const MAX_DURATION_MILLISECONDS = 24 * 60 * 60 * 1000;
const MAX_ROUTES = 10_000;

/** Names of rows, pools, workspaces and data centres. */
export const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'must be 1 to 63 of a-z, 0-9, ".", "_", "-"');

const timeOfDaySchema = z
  .string()
  .regex(/^([01]\d|2[0-3]):[0-5]\d$/, 'must be a time of day such as "07:30"');

const durationSchema = z.number().int().min(1).max(MAX_DURATION_MILLISECONDS);

/**
 * Cache of valid zones, of which a large table repeats a few. Checking one takes a tenth of a
 * millisecond, so without the cache a table of 10,000 routes would block a store for a second.
 */
const validTimeZones = new Set<string>();

function isValidTimeZone(zone: string): boolean {
  if (validTimeZones.has(zone)) return true;
  try {
    const resolved = new Intl.DateTimeFormat('en', { timeZone: zone }).resolvedOptions().timeZone;
    if (resolved !== '') validTimeZones.add(zone);
    return resolved !== '';
  } catch {
    return false;
  }
}

export const deadlineSchema = z.strictObject({
  /** Maximum time from a request's arrival to the first token, or first byte of a plain service. */
  firstTokenMilliseconds: durationSchema,
  /** Maximum time from a request's arrival to the end of its answer. */
  wholeAnswerMilliseconds: durationSchema,
  /**
   * Maximum time from a request's arrival to a first token that misses its deadline but is still
   * useful. Such requests are served after those that can meet their deadline; without a value they
   * are refused.
   */
  lateFirstTokenMilliseconds: durationSchema.optional(),
  /** The longest acceptable pause between two tokens. */
  pauseMilliseconds: durationSchema.optional(),
});

export const deadlineSpanSchema = deadlineSchema.extend({
  /** First minute of the span, in the route's time zone. */
  from: timeOfDaySchema,
  /** First minute after the span; the span crosses midnight if this is not later than `from`. */
  to: timeOfDaySchema,
});

export const routeSchema = z.strictObject({
  name: nameSchema,
  match: z.strictObject({
    /** Host of the request, in lower case; any host if missing. */
    host: z.string().min(1).max(255).optional(),
    /** Routes that name the host take precedence, then those with the longest prefix. */
    pathPrefix: z.string().startsWith('/', 'must start with "/"').max(512),
    /** Workspaces that may use the route; empty means all. */
    workspaces: z.array(nameSchema).default([]),
    /** `model` of the request; any model if missing. */
    model: z.string().min(1).max(200).optional(),
  }),
  pool: nameSchema,
  /** Weights by which requests are distributed randomly over several pools instead of `pool`. */
  split: z
    .array(z.strictObject({ pool: nameSchema, weight: z.number().min(0).max(1_000_000) }))
    .max(64)
    .optional(),
  /** False if a request may run at most once; see `requiresClaim`. */
  idempotent: z.boolean(),
  /**
   * False to send requests that are not idempotent without an `Idempotency-Key` and a claim, because
   * the backend servers report whether they ran a request. A resend by the caller is a new request.
   */
  claimed: z.boolean().optional(),
  /** True if callers need no key. */
  public: z.boolean().optional(),
  /** Maximum number of attempts for one request; unlimited if missing. */
  mostAttempts: z.number().int().min(1).max(100).optional(),
  /** 0 is served first, 9 last. */
  priority: z.number().int().min(0).max(9).default(5),
  limits: z
    .strictObject({
      /** Maximum number of requests in progress for one workspace in one data centre. */
      inProgressPerWorkspace: z.number().int().min(1).max(1_000_000).default(1000),
      /** Overrides of `inProgressPerWorkspace` by workspace. */
      workspaces: z.record(nameSchema, z.number().int().min(0).max(1_000_000)).default({}),
    })
    .default({ inProgressPerWorkspace: 1000, workspaces: {} }),
  timeZone: z.string().refine(isValidTimeZone, 'must be an IANA time zone such as "Europe/Vienna"'),
  /** In force if no span of `deadlinesByHour` matches. */
  deadline: deadlineSchema,
  /** The first span that contains the local time of the request's arrival is in force. */
  deadlinesByHour: z.array(deadlineSpanSchema).max(48).default([]),
});

export const routeRowsSchema = z.array(routeSchema).max(MAX_ROUTES);

export type Deadline = z.infer<typeof deadlineSchema>;
export type DeadlineSpan = z.infer<typeof deadlineSpanSchema>;
export type Route = z.infer<typeof routeSchema>;

/**
 * True if requests of the route need an `Idempotency-Key` and are claimed in the log before they are
 * sent. The outcome is stored for resends, even if the caller has disconnected.
 */
export function requiresClaim({
  idempotent,
  claimed,
}: Pick<Route, 'idempotent' | 'claimed'>): boolean {
  return !idempotent && claimed !== false;
}
