//! The list of scenarios.

use standin::platform::{Faults, LoseConfirmations, Mode};
use standin::proxy::{Delay, FaultShare};
use standin::{AdminCommand, Fault, FaultPlan, LinkCut};

use super::{Action, Expectations, HostRole, Phase, Scenario, Step, UpstreamRole};

const COORDINATOR: HostRole = HostRole::Coordinator;
const STANDBY: HostRole = HostRole::Standby;
const SPARE: HostRole = HostRole::Spare;
const UPSTREAM: UpstreamRole = UpstreamRole::Checked;
const UNCHECKED: UpstreamRole = UpstreamRole::Unchecked;
/// Time of the first fault, in milliseconds after the start of the load.
const FIRST_MS: u64 = 2_000;
/// Time for which processes are paused, and half the time for which links are cut, in milliseconds.
const PAUSE_MS: u64 = 4_000;
/// Longest unavailability of a key after the loss of a single process, in milliseconds.
const SINGLE_LOSS_MS: f64 = 1_500.0;

/// Returns all scenarios.
#[must_use]
pub fn all() -> Vec<Scenario> {
    let mut all = vec![quiet(), mixed_faults()];
    all.extend(planned_stops());
    all.extend(process_losses());
    all.extend(pauses());
    all.extend(outages());
    all.extend(domain_cuts());
    all.extend(link_cuts());
    all.extend([catalogue_changes(), overload()]);
    all
}

fn scenario(name: &str, description: &'static str, steps: Vec<Step>) -> Scenario {
    Scenario {
        name: name.into(),
        description,
        steps,
        ..Scenario::default()
    }
}

const fn at(at_ms: u64, action: Action) -> Step {
    Step { at_ms, action }
}

const fn platform_down() -> Action {
    platform_mode(Mode::Down)
}

const fn platform_up() -> Action {
    platform_mode(Mode::Up)
}

const fn platform_mode(mode: Mode) -> Action {
    Action::PlatformFaults(Faults {
        mode,
        lose_confirmations: LoseConfirmations::None,
    })
}

const fn single_loss() -> Expectations {
    Expectations {
        no_cut: false,
        no_refusal: false,
        no_churn: false,
        unavailable_ms: Some(SINGLE_LOSS_MS),
    }
}

const fn host_loss() -> Expectations {
    Expectations {
        no_churn: true,
        ..single_loss()
    }
}

const fn no_disturbance() -> Expectations {
    Expectations {
        no_cut: true,
        no_refusal: true,
        no_churn: true,
        unavailable_ms: Some(0.0),
    }
}

fn quiet() -> Scenario {
    Scenario {
        expect: no_disturbance(),
        tail_ms: 1_000,
        ..scenario("quiet", "Nothing happens.", vec![at(8_000, Action::Wait)])
    }
}

fn mixed_faults() -> Scenario {
    let share = |fault, share| FaultShare { fault, share };
    let plan = FaultPlan {
        delay: Delay {
            request_ms: 1.0,
            answer_ms: 1.0,
            jitter_ms: 8.0,
        },
        faults: vec![
            share(Fault::CutBeforeRequest, 0.01),
            share(Fault::CutRequestAfter(40), 0.01),
            share(Fault::CutBeforeAnswer, 0.01),
            share(Fault::CutAnswerAfter(60), 0.01),
            share(Fault::DropAnswer, 0.005),
            share(Fault::StallAnswer, 0.005),
            share(Fault::StallRequest, 0.005),
        ],
        ..FaultPlan::default()
    };
    let steps = vec![
        at(500, Action::UpstreamFaults(plan)),
        at(15_500, Action::UpstreamFaults(FaultPlan::default())),
    ];
    Scenario {
        upstream_proxies: true,
        phases: vec![Phase {
            rate: 1.5,
            duration_ms: None,
        }],
        tail_ms: 2_000,
        ..scenario(
            "mixed-faults",
            "Upstreams behind proxies that delay, cut, truncate, drop and stall.",
            steps,
        )
    }
}

fn planned_stops() -> Vec<Scenario> {
    let drain = |drain| Action::CommandUpstream(UPSTREAM, drain);
    let no_cut = Expectations {
        no_cut: true,
        no_refusal: true,
        ..Expectations::default()
    };
    let host_term = Scenario {
        expect: Expectations {
            no_churn: true,
            unavailable_ms: Some(100.0),
            ..no_cut
        },
        tail_ms: 2_000,
        ..scenario(
            "host-term",
            "SIGTERM of a coordinating host under load.",
            vec![at(FIRST_MS, Action::TerminateHost(COORDINATOR))],
        )
    };
    let upstream_drain = Scenario {
        expect: Expectations {
            unavailable_ms: Some(100.0),
            ..no_cut
        },
        ..scenario(
            "upstream-drain",
            "An upstream says that it leaves, under load.",
            vec![at(FIRST_MS, drain(AdminCommand::Drain))],
        )
    };
    let rolling_restart = Scenario {
        expect: no_cut,
        tail_ms: 2_000,
        ..scenario(
            "rolling-restart",
            "Each host in turn leaves and starts again.",
            vec![at(1_000, Action::RollingRestart)],
        )
    };
    vec![host_term, upstream_drain, rolling_restart]
}

fn process_losses() -> Vec<Scenario> {
    let kill = |name: &str, description, expect, actions: Vec<Action>| Scenario {
        expect,
        ..scenario(
            name,
            description,
            actions.into_iter().map(|a| at(FIRST_MS, a)).collect(),
        )
    };
    vec![
        kill(
            "kill-coordinator",
            "kill -9 of a coordinating host.",
            host_loss(),
            vec![Action::KillHost(COORDINATOR)],
        ),
        kill(
            "kill-deputy",
            "kill -9 of a deputy.",
            host_loss(),
            vec![Action::KillHost(STANDBY)],
        ),
        kill(
            "kill-upstream",
            "kill -9 of an upstream that checks grants.",
            single_loss(),
            vec![Action::KillUpstream(UPSTREAM)],
        ),
        kill(
            "kill-unchecked",
            "kill -9 of an upstream that checks no grants.",
            single_loss(),
            vec![Action::KillUpstream(UNCHECKED)],
        ),
        kill(
            "kill-coordinator-upstream",
            "kill -9 of a coordinating host and its upstream.",
            Expectations::default(),
            vec![
                Action::KillHost(COORDINATOR),
                Action::KillUpstream(UPSTREAM),
            ],
        ),
        kill(
            "kill-coordinator-deputy",
            "kill -9 of a coordinating host and its deputy.",
            Expectations::default(),
            vec![Action::KillHost(COORDINATOR), Action::KillHost(STANDBY)],
        ),
        Scenario {
            expect: host_loss(),
            ..scenario(
                "kill-and-return",
                "kill -9 of a coordinating host, which starts again at once.",
                vec![
                    at(FIRST_MS, Action::KillHost(COORDINATOR)),
                    at(FIRST_MS + 50, Action::StartHost(COORDINATOR)),
                ],
            )
        },
        Scenario {
            expect: single_loss(),
            ..scenario(
                "upstream-returns",
                "kill -9 of an upstream, which starts again at once.",
                vec![
                    at(FIRST_MS, Action::KillUpstream(UPSTREAM)),
                    at(FIRST_MS + 50, Action::StartUpstream(UPSTREAM)),
                ],
            )
        },
    ]
}

fn pauses() -> Vec<Scenario> {
    let pause = |name: &str,
                 description,
                 expect,
                 pause_actions: Vec<Action>,
                 resume_actions: Vec<Action>| {
        let pause = pause_actions.into_iter().map(|a| at(FIRST_MS, a));
        let resume = resume_actions
            .into_iter()
            .map(|a| at(FIRST_MS + PAUSE_MS, a));
        Scenario {
            expect,
            ..scenario(name, description, pause.chain(resume).collect())
        }
    };
    vec![
        pause(
            "stop-coordinator",
            "A coordinating host is paused with SIGSTOP and resumed.",
            host_loss(),
            vec![Action::PauseHost(COORDINATOR)],
            vec![Action::ResumeHost(COORDINATOR)],
        ),
        pause(
            "stop-deputy",
            "A deputy is paused with SIGSTOP and resumed.",
            host_loss(),
            vec![Action::PauseHost(STANDBY)],
            vec![Action::ResumeHost(STANDBY)],
        ),
        pause(
            "stop-upstream",
            "An upstream that checks grants is paused with SIGSTOP and resumed.",
            single_loss(),
            vec![Action::PauseUpstream(UPSTREAM)],
            vec![Action::ResumeUpstream(UPSTREAM)],
        ),
        pause(
            "stop-unchecked",
            "An upstream that checks no grants is paused with SIGSTOP and resumed.",
            single_loss(),
            vec![Action::PauseUpstream(UNCHECKED)],
            vec![Action::ResumeUpstream(UNCHECKED)],
        ),
        pause(
            "stop-coordinator-upstream",
            "A coordinating host and its upstream are paused with SIGSTOP and resumed.",
            Expectations::default(),
            vec![
                Action::PauseHost(COORDINATOR),
                Action::PauseUpstream(UPSTREAM),
            ],
            vec![
                Action::ResumeHost(COORDINATOR),
                Action::ResumeUpstream(UPSTREAM),
            ],
        ),
        pause(
            "stop-coordinator-deputy",
            "A coordinating host and its deputy are paused with SIGSTOP and resumed.",
            Expectations::default(),
            vec![Action::PauseHost(COORDINATOR), Action::PauseHost(STANDBY)],
            vec![Action::ResumeHost(COORDINATOR), Action::ResumeHost(STANDBY)],
        ),
    ]
}

fn outages() -> Vec<Scenario> {
    let outage = |name: &str, description, seconds: u64, during: Option<Action>| {
        let end = FIRST_MS + seconds * 1_000;
        let mut steps = vec![at(FIRST_MS, platform_down())];
        let middle = FIRST_MS + seconds * 500;
        steps.extend(during.clone().map(|action| at(middle, action)));
        steps.push(at(end, platform_up()));
        Scenario {
            expect: if during.is_some() {
                Expectations::default()
            } else {
                no_disturbance()
            },
            tail_ms: 4_000,
            ..scenario(name, description, steps)
        }
    };
    let drop_confirmations = Action::PlatformFaults(Faults {
        mode: Mode::Up,
        lose_confirmations: LoseConfirmations::Fraction { p: 0.5, seed: 1 },
    });
    let lost_confirmations = Scenario {
        ..scenario(
            "lost-confirmations",
            "Half of the writes take effect without an answer, while hosts and upstreams are lost.",
            vec![
                at(500, drop_confirmations),
                at(FIRST_MS, Action::KillUpstream(UPSTREAM)),
                at(FIRST_MS + 4_000, Action::KillHost(COORDINATOR)),
                at(FIRST_MS + 8_000, Action::StartUpstream(UPSTREAM)),
                at(FIRST_MS + 10_000, platform_up()),
            ],
        )
    };
    let kill_coordinator = Action::KillHost(COORDINATOR);
    vec![
        outage("outage-10s", "The platform is down for 10 s.", 10, None),
        outage("outage-60s", "The platform is down for 60 s.", 60, None),
        outage(
            "outage-10s-kill-coordinator",
            "kill -9 of a coordinating host while the platform is down for 10 s.",
            10,
            Some(kill_coordinator.clone()),
        ),
        outage(
            "outage-60s-kill-coordinator",
            "kill -9 of a coordinating host while the platform is down for 60 s.",
            60,
            Some(kill_coordinator),
        ),
        outage(
            "outage-10s-kill-upstream",
            "kill -9 of an upstream while the platform is down for 10 s.",
            10,
            Some(Action::KillUpstream(UPSTREAM)),
        ),
        outage(
            "outage-10s-new-host",
            "A new host starts while the platform is down for 10 s.",
            10,
            Some(Action::StartHost(SPARE)),
        ),
        lost_confirmations,
    ]
}

fn domain_cuts() -> Vec<Scenario> {
    let cut = |name: &str, description, cut: Vec<Action>, reconnect: Vec<Action>| {
        let cut = cut.into_iter().map(|a| at(FIRST_MS, a));
        let reconnect = reconnect
            .into_iter()
            .map(|a| at(FIRST_MS + 2 * PAUSE_MS, a));
        Scenario {
            tail_ms: 4_000,
            ..scenario(name, description, cut.chain(reconnect).collect())
        }
    };
    vec![
        cut(
            "cut-others",
            "A domain is cut from the others.",
            vec![Action::CutOthers],
            vec![Action::ReconnectOthers],
        ),
        Scenario {
            expect: no_disturbance(),
            ..cut(
                "cut-platform",
                "A domain is cut from the platform.",
                vec![Action::CutPlatform],
                vec![Action::ReconnectPlatform],
            )
        },
        cut(
            "cut-both",
            "A domain is cut from the others and from the platform.",
            vec![Action::CutOthers, Action::CutPlatform],
            vec![Action::ReconnectOthers, Action::ReconnectPlatform],
        ),
    ]
}

fn link_cuts() -> Vec<Scenario> {
    let cut = |name: &str, description, how| {
        let steps = vec![
            at(FIRST_MS, Action::CutLinks(COORDINATOR, how)),
            at(FIRST_MS + PAUSE_MS, Action::RestoreLinks),
            at(FIRST_MS + 2 * PAUSE_MS, Action::CutLinks(STANDBY, how)),
            at(FIRST_MS + 3 * PAUSE_MS, Action::RestoreLinks),
        ];
        Scenario {
            expect: host_loss(),
            tail_ms: 2_000,
            ..scenario(name, description, steps)
        }
    };
    vec![
        cut(
            "cut-links-hang",
            "The links between a host and all upstreams hang, then those of another host.",
            LinkCut::Hangs,
        ),
        cut(
            "cut-links-reset",
            "The connections between a host and all upstreams are reset, then those of another host.",
            LinkCut::Resets,
        ),
        cut(
            "cut-links-refuse",
            "New connections of a host to all upstreams are refused, then those of another host.",
            LinkCut::RefusesNew,
        ),
    ]
}

fn catalogue_changes() -> Scenario {
    Scenario {
        expect: Expectations {
            no_cut: false,
            ..Expectations::default()
        },
        tail_ms: 1_000,
        ..scenario(
            "catalogue-changes",
            "200 changes during traffic, with an outage of the platform and a cut domain.",
            vec![at(1_000, Action::ChangeCatalogue { count: 200 })],
        )
    }
}

fn overload() -> Scenario {
    let phase = |rate, ms| Phase {
        rate,
        duration_ms: Some(ms),
    };
    Scenario {
        // With this service time, the layout's usual rate occupies all slots of the upstreams.
        service_ms: Some(100.0),
        phases: vec![phase(1.0, 8_000), phase(2.0, 8_000), phase(0.5, 5_000)],
        ..scenario(
            "overload-2x",
            "Twice the load that the upstreams can take, and the time after it.",
            Vec::new(),
        )
    }
}
