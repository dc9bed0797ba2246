/** Bursts at brittle servers of a large site where digests are under way for long. */
import { testBrittleBursts } from './testing/brittleBursts.js';

const bursts = { entries: 58, enginesPerDataCentre: 4, seeds: [1, 3] };

testBrittleBursts(bursts, ['inTransit']);
