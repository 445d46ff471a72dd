//! Relaxed schedule in which work is fluid: the upper bound.
//!
//! Time is divided into cells. A cell of a pool of upstreams holds as much work as its slots do in
//! that time. A request may be placed in any cells between its arrival and its objective, in pieces
//! and on several slots at a time, and counts as answered for the fraction that is placed.

use std::ops::Range;

use indexmap::IndexMap;

use super::Share;
use super::model::{Component, Goal, Model, Request};

/// Length of a cell in microseconds. Shorter cells give a closer bound and take more time.
const CELL_US: u64 = 10_000;
/// Maximum number of pools for upstreams that have requests on keys; more of them share pools. A search for room visits the cells of all
/// pools; with one pool for each of 300 upstreams, a trace of 100,000 requests took minutes.
const MAX_POOLS: usize = 16;
/// Cells of a component with several pools above which cells are made longer, to shorten searches.
const SEARCHED_CELLS: u64 = 5_000;
/// Most cells of a component, to limit the memory that a long trace takes.
const MAX_CELLS: u64 = 1_000_000;
/// Number of cells that the shortest objective spans, unless there are too many cells.
const CELLS_PER_OBJECTIVE: u64 = 4;

/// Which requests are placed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// By priority, then by weight for each unit of work. Late answers take what is left.
    Priority,
    /// By work, the shortest first, in time only: the most answers of all routes together.
    Shortest,
}

/// Returns the share of each request of `component`, in the component's order.
#[must_use]
pub fn relaxed_shares(model: &Model, component: &Component, order: Order) -> Vec<Share> {
    let mut fluid = Fluid::new(model, component);
    let mut placed = vec![0; component.requests.len()];
    let mut shares = vec![Share::default(); component.requests.len()];
    for n in fluid.sorted(order, Goal::InTime) {
        placed[n] = fluid.place(n, Goal::InTime, 0);
        shares[n].in_time = fluid.fraction(n, placed[n]);
    }
    if order == Order::Shortest {
        return shares;
    }
    for n in fluid.sorted(order, Goal::Late) {
        let late = fluid.place(n, Goal::Late, placed[n]);
        shares[n].late = fluid.fraction(n, late);
    }
    shares
}

struct Fluid<'a> {
    model: &'a Model,
    component: &'a Component,
    /// Pool of each upstream.
    pools: IndexMap<usize, usize>,
    cell_us: u64,
    start_us: u64,
    grid: Grid,
}

impl<'a> Fluid<'a> {
    fn new(model: &'a Model, component: &'a Component) -> Self {
        let requests = || component.requests.iter().map(|n| &model.requests[*n]);
        let pools = pools(model, component);
        let mut work_per_ms: Vec<u64> = Vec::new();
        for (upstream, pool) in &pools {
            work_per_ms.resize(work_per_ms.len().max(pool + 1), 0);
            work_per_ms[*pool] += model.upstreams[*upstream].work_per_ms();
        }
        let deadline_us = |req: &Request| req.arrival_us + model.route_of(req).deadline_us();
        let start_us = requests().map(|req| req.arrival_us).min().unwrap_or(0);
        let end_us = requests().map(deadline_us).max().unwrap_or(0);
        let length_us = end_us - start_us;
        let all_pools_us = length_us * work_per_ms.len() as u64;
        let mut cell_us = CELL_US.max(all_pools_us / MAX_CELLS);
        if work_per_ms.len() > 1 {
            let objectives = requests().map(|req| model.route_of(req).objective_us());
            let longest_us = objectives.min().unwrap_or(0) / CELLS_PER_OBJECTIVE;
            cell_us = cell_us.max(longest_us.min(all_pools_us / SEARCHED_CELLS));
        }
        let cells = length_us.div_ceil(cell_us) as usize;
        let capacities = work_per_ms
            .iter()
            .map(|w| w.saturating_mul(cell_us).div_ceil(1_000));
        let grid = Grid::new(&capacities.collect::<Vec<_>>(), cells);
        Self {
            model,
            component,
            pools,
            cell_us,
            start_us,
            grid,
        }
    }

    fn request(&self, n: usize) -> &'a Request {
        &self.model.requests[self.component.requests[n]]
    }

    /// Returns the requests that an idle upstream would answer by their goal, in order.
    fn sorted(&self, order: Order, goal: Goal) -> Vec<usize> {
        let mut found = Vec::new();
        for n in 0..self.component.requests.len() {
            let req = self.request(n);
            let route = self.model.route_of(req);
            let weight = goal.weight(route);
            if weight == 0.0 || self.fastest_us(req) > goal.limit_us(route) {
                continue;
            }
            let rank = match order {
                Order::Priority => (route.priority, req.work_us as f64 / weight),
                Order::Shortest => (0, req.work_us as f64),
            };
            found.push((rank, n));
        }
        found.sort_by(|(a, _), (b, _)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        found.into_iter().map(|(_, n)| n).collect()
    }

    fn fastest_us(&self, req: &Request) -> u64 {
        let duration = |u: usize| self.model.upstreams[u].duration_us(req.work_us);
        let all = || self.component.upstreams.iter().copied().map(duration).min();
        req.upstream.map(duration).or_else(all).unwrap_or(u64::MAX)
    }

    /// Places what of a request is not placed yet, and returns the work that found room.
    fn place(&mut self, n: usize, goal: Goal, placed: u64) -> u64 {
        let req = self.request(n);
        let arrival_us = req.arrival_us - self.start_us;
        let end_us = arrival_us + goal.limit_us(self.model.route_of(req));
        let window = Window {
            // With one pool, requests with and without key are alike.
            pool: match req.upstream {
                Some(upstream) => Some(self.pools[&upstream]),
                None => Some(0).filter(|_| self.grid.pools == 1),
            },
            start: (arrival_us / self.cell_us) as usize,
            end: end_us.div_ceil(self.cell_us) as usize,
        };
        self.grid.insert(window, req.work_us - placed)
    }

    fn fraction(&self, n: usize, placed: u64) -> f64 {
        placed as f64 / self.request(n).work_us as f64
    }
}

/// Returns the pool of each upstream.
///
/// Upstreams without requests on keys share a pool, as their requests may run on any of them. Each
/// other upstream has its own, or shares it with upstreams that have a similar load by requests on
/// keys. Sharing allows more schedules, but where loads are similar, few of these answer more.
fn pools(model: &Model, component: &Component) -> IndexMap<usize, usize> {
    let mut work = IndexMap::new();
    for n in &component.requests {
        let req = &model.requests[*n];
        if let Some(upstream) = req.upstream {
            *work.entry(upstream).or_insert(0) += req.work_us;
        }
    }
    let load = |n: usize| work[&n] as f64 / model.upstreams[n].work_per_ms() as f64;
    let mut by_load: Vec<usize> = work.keys().copied().collect();
    by_load.sort_by(|a, b| load(*a).total_cmp(&load(*b)));
    let pool_size = by_load.len().div_ceil(MAX_POOLS).max(1);
    let keyed = by_load.iter().enumerate();
    let mut pools: IndexMap<usize, usize> = keyed.map(|(n, u)| (*u, n / pool_size)).collect();
    let common = by_load.len().div_ceil(pool_size);
    for upstream in &component.upstreams {
        pools.entry(*upstream).or_insert(common);
    }
    pools
}

/// Cells that may hold the work of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Window {
    /// Pool, or none for all.
    pool: Option<usize>,
    /// First cell.
    start: usize,
    /// Cell after the last one.
    end: usize,
}

/// Work in a cell, of all requests with the same window.
#[derive(Debug, Clone, Copy)]
struct Part {
    window: Window,
    work: u64,
}

/// Range of cells that the work in a cell can move to.
#[derive(Debug, Clone, Copy)]
struct Reach {
    start: usize,
    end: usize,
}

impl Reach {
    fn union(self, other: Self) -> Self {
        Self {
            start: self.start.min(other.start),
            end: self.end.max(other.end),
        }
    }

    fn touches(self, other: Self) -> bool {
        self.start <= other.end && other.start <= self.end
    }

    fn contains(self, other: Self) -> bool {
        self.start <= other.start && other.end <= self.end
    }
}

#[derive(Debug, Clone)]
struct Cell {
    free: u64,
    parts: Vec<Part>,
    /// Where work that is bound to the pool can move, and where work of all pools can.
    reaches: [Option<Reach>; 2],
    /// Whether no work in the cell can move to a cell with room. This never ends, as work is only
    /// added.
    is_full: bool,
}

impl Cell {
    fn add(&mut self, window: Window, work: u64) {
        let known = self.parts.iter_mut().find(|part| part.window == window);
        if let Some(part) = known {
            part.work += work;
        } else {
            self.parts.push(Part { window, work });
            self.extend_reach(window);
        }
    }

    fn remove(&mut self, part: usize, work: u64) {
        self.parts[part].work -= work;
        if self.parts[part].work == 0 {
            self.parts.swap_remove(part);
            self.reaches = [None; 2];
            for n in 0..self.parts.len() {
                self.extend_reach(self.parts[n].window);
            }
        }
    }

    fn extend_reach(&mut self, window: Window) {
        let reach = &mut self.reaches[usize::from(window.pool.is_none())];
        let added = Reach {
            start: window.start,
            end: window.end,
        };
        *reach = Some(reach.map_or(added, |known| known.union(added)));
    }
}

/// Cells of all pools, with a search for paths along which work can move to make room.
struct Grid {
    pools: usize,
    cells_per_pool: usize,
    cells: Vec<Cell>,
    /// Number of pools that have room in each column of cells.
    open_pools: Vec<usize>,
    /// Search that last visited each cell, and the cell that it came from.
    visited: Vec<(u32, usize)>,
    /// Ranges that the search has visited in each pool, and in all pools. Without these, a search
    /// looks at each cell again from every cell that reaches it.
    visited_in: Vec<Option<Reach>>,
    visited_in_all: Option<Reach>,
    searches: u32,
    queue: Vec<usize>,
}

impl Grid {
    fn new(capacities: &[u64], cells_per_pool: usize) -> Self {
        let open_pools = capacities.iter().filter(|c| **c > 0).count();
        let cell = |capacity: &u64| Cell {
            free: *capacity,
            parts: Vec::new(),
            reaches: [None; 2],
            is_full: false,
        };
        let pools = capacities.iter();
        let cells: Vec<Cell> = pools
            .flat_map(|capacity| vec![cell(capacity); cells_per_pool])
            .collect();
        Self {
            pools: capacities.len(),
            cells_per_pool,
            visited: vec![(0, 0); cells.len()],
            open_pools: vec![open_pools; cells_per_pool],
            visited_in: vec![None; capacities.len()],
            visited_in_all: None,
            cells,
            searches: 0,
            queue: Vec::new(),
        }
    }

    /// Places up to `work` in a window, moves other work where needed, and returns the placed work.
    fn insert(&mut self, window: Window, work: u64) -> u64 {
        let mut left = work;
        while left > 0 {
            let Some(found) = self.find_room(window) else {
                for cell in &self.queue {
                    self.cells[*cell].is_full = true;
                }
                break;
            };
            left -= self.move_along(found, window, left);
        }
        work - left
    }

    /// Returns the nearest cell with room that work of `window` can make use of.
    fn find_room(&mut self, window: Window) -> Option<usize> {
        self.searches += 1;
        self.queue.clear();
        self.visited_in.fill(None);
        self.visited_in_all = None;
        let reach = Reach {
            start: window.start,
            end: window.end,
        };
        if let Some(found) = self.visit(window.pool, reach, None) {
            return Some(found);
        }
        let mut next = 0;
        while let Some(cell) = self.queue.get(next).copied() {
            next += 1;
            let pool = cell / self.cells_per_pool;
            let [own, all] = self.cells[cell].reaches;
            for (pool, reach) in [(Some(pool), own), (None, all)] {
                let Some(reach) = reach else { continue };
                if let Some(found) = self.visit(pool, reach, Some(cell)) {
                    return Some(found);
                }
            }
        }
        None
    }

    /// Visits the cells of a range and returns the first one that has room.
    fn visit(&mut self, pool: Option<usize>, reach: Reach, from: Option<usize>) -> Option<usize> {
        let Some(pool) = pool else {
            if self
                .visited_in_all
                .is_some_and(|known| known.contains(reach))
            {
                return None;
            }
            let known = self.visited_in_all.filter(|known| known.touches(reach));
            self.visited_in_all = Some(known.map_or(reach, |known| known.union(reach)));
            if let Some(cell) = self.open_cell(reach) {
                self.visited[cell] = (self.searches, from.unwrap_or(cell));
                return Some(cell);
            }
            return (0..self.pools).find_map(|pool| self.visit_pool(pool, reach, from));
        };
        self.visit_pool(pool, reach, from)
    }

    /// Returns a cell with room in any pool. This spares visits to full cells of all other pools.
    fn open_cell(&self, reach: Reach) -> Option<usize> {
        let mut columns = reach.start..reach.end;
        let column = columns.find(|column| self.open_pools[*column] > 0)?;
        let mut cells = (0..self.pools).map(|pool| pool * self.cells_per_pool + column);
        cells.find(|cell| self.cells[*cell].free > 0)
    }

    fn visit_pool(&mut self, pool: usize, reach: Reach, from: Option<usize>) -> Option<usize> {
        let known = self.visited_in[pool].filter(|known| known.touches(reach));
        let Some(known) = known else {
            self.visited_in[pool] = Some(reach);
            return self.visit_cells(pool, reach.start..reach.end, from);
        };
        self.visited_in[pool] = Some(known.union(reach));
        self.visit_cells(pool, reach.start..known.start, from)
            .or_else(|| self.visit_cells(pool, known.end..reach.end, from))
    }

    fn visit_cells(
        &mut self,
        pool: usize,
        columns: Range<usize>,
        from: Option<usize>,
    ) -> Option<usize> {
        let first = pool * self.cells_per_pool;
        for cell in columns.map(|column| first + column) {
            if self.visited[cell].0 == self.searches || self.cells[cell].is_full {
                continue;
            }
            self.visited[cell] = (self.searches, from.unwrap_or(cell));
            if self.cells[cell].free > 0 {
                return Some(cell);
            }
            self.queue.push(cell);
        }
        None
    }

    /// Moves work along the path of the last search to `to`, puts work of `window` in its place,
    /// and returns how much.
    fn move_along(&mut self, to: usize, window: Window, work: u64) -> u64 {
        let mut path = Vec::new();
        let mut moved = work.min(self.cells[to].free);
        let mut cell = to;
        while self.visited[cell].1 != cell {
            let from = self.visited[cell].1;
            let part = self.largest_part(from, cell);
            moved = moved.min(self.cells[from].parts[part].work);
            path.push((from, part, cell));
            cell = from;
        }
        self.cells[to].free -= moved;
        if self.cells[to].free == 0 {
            self.open_pools[to % self.cells_per_pool] -= 1;
        }
        for (from, part, to) in path {
            let window = self.cells[from].parts[part].window;
            self.cells[from].remove(part, moved);
            self.cells[to].add(window, moved);
        }
        self.cells[cell].add(window, moved);
        moved
    }

    /// Returns the largest part of the cell `from` that may move to the cell `to`.
    fn largest_part(&self, from: usize, to: usize) -> usize {
        let (pool, column) = (to / self.cells_per_pool, to % self.cells_per_pool);
        let may_move = |part: &Part| {
            let Window {
                pool: own,
                start,
                end,
            } = part.window;
            own.is_none_or(|own| own == pool) && (start..end).contains(&column)
        };
        let parts = self.cells[from].parts.iter().enumerate();
        let largest = parts
            .filter(|(_, part)| may_move(part))
            .max_by_key(|(_, part)| part.work);
        largest
            .expect("the search came along a part that may move")
            .0
    }
}
